package org.hornbeamward.dispatch.lead;

/**
 * The newest checkpoint of a task. The members of a gang share one, because a gang comes together
 * only if all of its members resume from the same checkpoint.
 */
final class Checkpoint {
    /** Progress assumed for the checkpoint that a run reports when it ends. */
    static final int END_PERCENT = 100;

    private String mValue = "";
    private int mAttempt;
    private int mPercent;

    /** Returns the value to resume from; empty for none. */
    String value() {
        return mValue;
    }

    boolean isEmpty() {
        return mValue.isEmpty();
    }

    /** Sets the value that a previous leader has stored. */
    void restore(String value) {
        if (!value.isEmpty()) {
            mValue = value;
        }
    }

    /**
     * Takes over a reported value unless a newer one is known. Reports of several members, and of
     * runs that ended on a worker that could not be reached, arrive out of order.
     *
     * @param value value that a run reports; empty for none
     * @param attempt number of the run
     * @param percent progress of the run
     */
    void offer(String value, int attempt, int percent) {
        boolean newer = attempt > mAttempt || (attempt == mAttempt && percent >= mPercent);
        if (!value.isEmpty() && newer) {
            mValue = value;
            mAttempt = attempt;
            mPercent = percent;
        }
    }
}
