package org.hornbeamward.dispatch.lead;

/**
 * The newest checkpoint of a task. The members of a gang share one, because a gang comes together
 * only if all of its members resume from the same checkpoint.
 */
final class Checkpoint {
    /** Progress assumed for the checkpoint that a run reports when it ends. */
    static final int END_PERCENT = 100;

    /**
     * Largest number of characters of a value that is part of the progress of its job. A longer one
     * is stored by itself, so that the progress is not written again with each of them.
     */
    static final int MAX_SHORT_CHARS = 32;

    private String mValue = "";
    private int mAttempt;
    private int mPercent;

    /** The value that a commit stores by itself, or that cannot be stored; empty for none. */
    private String mStoredValue = "";

    private boolean mHasRecord;
    private long mStoredMillis = Long.MIN_VALUE / 2;

    /** Returns the value to resume from; empty for none. */
    String value() {
        return mValue;
    }

    boolean isEmpty() {
        return mValue.isEmpty();
    }

    /** Returns the attempt whose run has reported the value; 0 if an earlier leader stored it. */
    int attempt() {
        return mAttempt;
    }

    /** Returns whether the value is stored as part of the progress of its job. */
    boolean isShort() {
        return mValue.length() <= MAX_SHORT_CHARS;
    }

    /** Returns whether the value need not be stored by itself, since it is, or cannot be. */
    boolean isStored() {
        return mStoredValue.equals(mValue);
    }

    /** Returns whether the store holds this or an earlier value by itself. */
    boolean hasRecord() {
        return mHasRecord;
    }

    /** Returns the monotonic time at which a value was last stored by itself; long ago if never. */
    long storedMillis() {
        return mStoredMillis;
    }

    /**
     * Notes that a commit stores the value by itself.
     *
     * @param nowMillis monotonic time
     */
    void noteStored(long nowMillis) {
        mStoredValue = mValue;
        mHasRecord = true;
        mStoredMillis = nowMillis;
    }

    /** Notes that the value cannot be stored; an earlier one stays in the store. */
    void noteNotStorable() {
        mStoredValue = mValue;
    }

    /** Notes that a commit removes what is stored by itself. */
    void noteRemoved() {
        mStoredValue = "";
        mHasRecord = false;
    }

    /** Sets the value that a previous leader has stored by itself. */
    void restoreStored(String value) {
        restore(value);
        mStoredValue = mValue;
        mHasRecord = true;
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
