package org.hornbeamward.state;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

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
     * @param rejection message of the rejection, empty if accepted
     */
    public record Verdict(long token, String rejection) {}

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
