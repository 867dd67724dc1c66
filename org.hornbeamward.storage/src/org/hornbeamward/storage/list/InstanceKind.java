package org.hornbeamward.storage.list;

/** What an instance runs. */
public enum InstanceKind {
    /** An entry instance of the system. */
    ENTRY("entry"),
    /** An endpoint that answers requests. */
    ENDPOINT("endpoint"),
    /** A worker that runs tasks. */
    WORKER("worker");

    private final String mJsonName;

    InstanceKind(String jsonName) {
        mJsonName = jsonName;
    }

    /**
     * Returns the name in the JSON of the list.
     *
     * @return name in lower case
     */
    public String jsonName() {
        return mJsonName;
    }
}
