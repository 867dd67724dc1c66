package org.hornbeamward.state;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.VersionConflict;
import org.jspecify.annotations.Nullable;

/**
 * Verdicts (acceptance or rejection) on commands of operators and callers, by command id. They make
 * these commands idempotent: a repeated command is not applied again and gets the first verdict.
 * The oldest verdicts are dropped first. Confined to the thread that applies the log.
 */
public final class VerdictTable {
    private static final int MAX_VERDICTS = 4096;

    final Map<String, Verdict> mVerdicts = new LinkedHashMap<>();

    VerdictTable() {}

    /**
     * The verdict on one command. Immutable.
     *
     * @param token fencing token of the command's first occurrence
     * @param rejection message of the rejection, or the subject of a version conflict; empty if
     *     accepted
     * @param currentVersion version in force at a version conflict, {@link #NO_CONFLICT} if there
     *     was none
     */
    public record Verdict(long token, String rejection, long currentVersion) {
        /** Version of a verdict without a version conflict. */
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
         * Recreates the rejection as an error of its original kind.
         *
         * @param commandId id of the command
         * @return the rejection, or empty if the command was accepted
         */
        public Optional<HornbeamwardError> error(String commandId) {
            if (rejection.isEmpty()) {
                return Optional.empty();
            }
            return Optional.of(
                    currentVersion == NO_CONFLICT
                            ? new CommandRejected("command " + commandId, rejection)
                            : new VersionConflict(rejection, 0, currentVersion));
        }
    }

    /**
     * Finds the verdict on a command.
     *
     * @param commandId its id
     * @return the first verdict, or empty if the id is unknown or its verdict was dropped
     */
    public Optional<Verdict> find(String commandId) {
        return Optional.ofNullable(mVerdicts.get(commandId));
    }

    void store(String commandId, Verdict verdict) {
        mVerdicts.put(commandId, verdict);
        if (mVerdicts.size() > MAX_VERDICTS) {
            mVerdicts.remove(mVerdicts.keySet().iterator().next());
        }
    }
}
