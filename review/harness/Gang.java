import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One run of a gang on all minions. Its members work from the moment when all of them are present,
 * and all must carry the same checkpoint; members with different ones do not come together.
 */
final class Gang {
    private static final Map<String, Gang> ALL = new HashMap<>();

    private final List<Minion.Running> mMembers = new ArrayList<>();
    private long mWorkingSinceMillis = -1;
    private long mResumedMillis;
    private boolean mBroken;

    private Gang() {}

    /** Adds a member that a minion has just started. */
    static synchronized Gang join(Minion.Running running) {
        String task = running.mTask;
        String key = task.substring(0, task.lastIndexOf('.')) + " attempt " + running.mAttempt;
        Gang gang = ALL.computeIfAbsent(key, unused -> new Gang());
        gang.add(key, running);
        return gang;
    }

    private synchronized void add(String key, Minion.Running running) {
        mMembers.add(running);
        if (mMembers.size() < running.mGangSize) {
            return;
        }
        List<String> checkpoints =
                mMembers.stream().map(member -> member.mTask + "=" + member.mCheckpoint).toList();
        if (mMembers.stream().anyMatch(other -> !other.mCheckpoint.equals(running.mCheckpoint))) {
            RunLog.line("gang", key + " does not come together, checkpoints: " + checkpoints);
            return;
        }
        RunLog.line("gang", key + " works, checkpoints: " + checkpoints);
        mWorkingSinceMillis = Clock.millis();
        mResumedMillis =
                running.mCheckpoint.isEmpty() ? 0 : Long.parseLong(running.mCheckpoint, 16);
    }

    synchronized boolean isWorking() {
        return mWorkingSinceMillis >= 0 && !mBroken;
    }

    synchronized boolean isBroken() {
        return mBroken;
    }

    /** Ends the work of all members, since one of them has ended. */
    synchronized void breakUp() {
        mBroken = true;
    }

    /** Returns the work done in milliseconds, that of earlier runs included. */
    synchronized long progressMillis() {
        return mWorkingSinceMillis < 0 ? 0 : mResumedMillis + Clock.millis() - mWorkingSinceMillis;
    }

    /** Returns the newest checkpoint at an interval of work. */
    synchronized String checkpoint(long intervalMillis, String earlier) {
        long savedMillis = progressMillis() / intervalMillis * intervalMillis;
        return savedMillis > mResumedMillis ? String.format("%08x", savedMillis) : earlier;
    }
}
