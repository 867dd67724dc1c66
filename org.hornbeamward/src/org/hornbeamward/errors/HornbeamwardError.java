package org.hornbeamward.errors;

/** A failure; its class tells callers what kind it is. Immutable. */
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
     * Returns a message for people: what failed, where, and the remedy.
     *
     * @return one line of text
     */
    String message();

    /**
     * Returns the kind of failure for programs.
     *
     * @return the simple class name
     */
    default String kind() {
        return getClass().getSimpleName();
    }
}
