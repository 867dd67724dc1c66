package org.hornbeamward.dispatch.fake;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.hornbeamward.dispatch.port.Loop;

/** A loop on a virtual clock. Tasks due at the same time run in the order of their scheduling. */
public final class VirtualLoop implements Loop {
    private record ScheduledTask(long atMillis, long sequence, Runnable task) {}

    private final PriorityQueue<ScheduledTask> mScheduledTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledTask::atMillis)
                            .thenComparingLong(ScheduledTask::sequence));
    private long mNowMillis = 1_000;

    /** Whether the loop runs on after a task has thrown, as the loop of a process does. */
    public boolean logsFailures;

    /** Number of tasks that have thrown. */
    public int failureCount;

    private long mSequence;
    private long mSuspendedMillis;

    @Override
    public long nowMillis() {
        return mNowMillis;
    }

    @Override
    public long wallMillis() {
        return 1_700_000_000_000L + mNowMillis + mSuspendedMillis;
    }

    @Override
    public Timer schedule(long delayMillis, Runnable task) {
        ScheduledTask scheduled =
                new ScheduledTask(mNowMillis + Math.max(0, delayMillis), mSequence++, task);
        mScheduledTasks.add(scheduled);
        return () -> mScheduledTasks.remove(scheduled);
    }

    /**
     * Advances the wall clock but not the monotonic clock, as on a suspended machine.
     *
     * @param millis how long the machine is suspended
     */
    public void suspend(long millis) {
        mSuspendedMillis += millis;
    }

    /**
     * Advances both clocks and runs all tasks that become due.
     *
     * @param millis by how much to advance
     */
    public void advance(long millis) {
        long end = mNowMillis + millis;
        while (!mScheduledTasks.isEmpty() && mScheduledTasks.peek().atMillis() <= end) {
            ScheduledTask scheduled = mScheduledTasks.remove();
            // A task before it may have kept the loop busy beyond this time.
            mNowMillis = Math.max(mNowMillis, scheduled.atMillis());
            try {
                scheduled.task().run();
            } catch (RuntimeException e) {
                if (!logsFailures) {
                    throw e;
                }
                failureCount++;
            }
        }
        mNowMillis = Math.max(mNowMillis, end);
    }

    /**
     * Advances both clocks without running a task, as while the loop is busy.
     *
     * @param millis for how long it is busy
     */
    public void stall(long millis) {
        mNowMillis += millis;
    }
}
