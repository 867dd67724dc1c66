package org.hornbeamward.state;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.VersionConflict;
import org.jspecify.annotations.Nullable;

/**
 * Verdicts on operators' and callers' commands by command id, so that a repeat gets the first
 * verdict. Confined to the thread that applies the log.
 */
public final class VerdictTable {
    private static final int MAX_VERDICTS = 4096;

    final Map<String, Verdict> mVerdicts = new LinkedHashMap<>();

    VerdictTable() {}

    /**
     * A remembered verdict. Immutable.
     *
     * @param token token of the first occurrence
     * @param rejection message of the rejection, or the subject of a lost race; empty if accepted
     * @param wonVersion version that the command lost to, {@link #NO_CONFLICT} if it lost no race
     */
    public record Verdict(long token, String rejection, long wonVersion) {
        /** Stands for no version. */
        public static final long NO_CONFLICT = -1;

        static Verdict of(long token, @Nullable HornbeamwardError rejection) {
            return switch (rejection) {
                case null -> new Verdict(token, "", NO_CONFLICT);
                case VersionConflict conflict ->
                        new Verdict(token, conflict.subject(), conflict.currentVersion());
                default -> new Verdict(token, rejection.message(), NO_CONFLICT);
            };
        }

        /**
         * Returns the rejection in its kind.
         *
         * @param commandId id of the command
         * @return the rejection, or empty if the command was accepted
         */
        public Optional<HornbeamwardError> error(String commandId) {
            if (rejection.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(
                    wonVersion == NO_CONFLICT
                            ? new CommandRejected("command " + commandId, rejection)
                            : new VersionConflict(rejection, 0, wonVersion));
        }
    }

    /**
     * Finds the verdict on a command.
     *
     * @param commandId its id
     * @return the first verdict, or empty if the id is unknown or was forgotten
     */
    public Optional<Verdict> find(String commandId) {
        return Optional.ofNullable(mVerdicts.get(commandId));
    }

    void remember(String commandId, Verdict verdict) {
        mVerdicts.put(commandId, verdict);
        if (mVerdicts.size() > MAX_VERDICTS) {
            mVerdicts.remove(mVerdicts.keySet().iterator().next());
        }
    }
}
