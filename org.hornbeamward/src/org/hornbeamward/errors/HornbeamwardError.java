package org.hornbeamward.errors;

/** A failure that callers can tell apart by its class. Immutable. */
public sealed interface HornbeamwardError
        permits CommandRejected,
                InvalidSetting,
                InvalidSettings,
                LogRetentionPassed,
                LogUnavailable,
                MalformedId,
                MalformedRecord,
                NoUsableSnapshot,
                OversizedInput,
                PeerUnreachable,
                RequestNotRun,
                RequestOutcomeUnknown,
                RingFull,
                SnapshotCorrupt,
                VersionConflict {

    /**
     * Returns the text for people: what failed, where, and the remedy.
     *
     * @return one line of text
     */
    String message();

    /**
     * Returns the name of the kind for programs.
     *
     * @return the simple class name
     */
    default String kind() {
        return getClass().getSimpleName();
    }
}
