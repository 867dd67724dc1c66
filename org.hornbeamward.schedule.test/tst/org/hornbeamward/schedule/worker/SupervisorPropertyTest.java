package org.hornbeamward.schedule.worker;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.state.TaskResult;
import org.hornbeamward.state.TaskState;

/** Runs random interleavings of failures of workers, supervisors, links and the log. */
final class SupervisorPropertyTest {
    private static final int STEPS = 2_400;
    private static final int TASK_COUNT = 6;

    private SplittableRandom mRandom = new SplittableRandom(0);
    private FakeCluster mCluster = new FakeCluster(1, 0);
    private int mJoinCount;

    /**
     * Guards against a task that runs in two places at once, is started twice with the same token,
     * or is never resumed after a stop, under any interleaving of failures.
     */
    @Property(tries = 100, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void tasksRunInOnePlaceAndAreResumed(@ForAll long seed) {
        mRandom = new SplittableRandom(seed);
        mCluster = new FakeCluster(4, 4);
        mJoinCount = 4;
        mCluster.submit("batch", JobKind.BATCH, TASK_COUNT, 60_000);
        mCluster.submit("short", JobKind.BATCH, TASK_COUNT, 3_000);
        mCluster.run(3_000);
        for (int step = 0; step < STEPS; step++) {
            if (mRandom.nextInt(20) == 0) {
                injectFailure(mRandom.nextInt(11));
            }
            decide();
            mCluster.step();
        }
        RunHistory.check(mCluster.mWorkers);
        clearFailures();
        for (int step = 0; step < 8_000 && !allFinished(); step++) {
            decide();
            mCluster.step();
        }
        assertTrue(allFinished(), "a task was never resumed");
        mCluster.run(70_000);
        RunHistory.check(mCluster.mWorkers);
        mCluster.mWorkers.forEach(w -> assertEquals(List.of(), w.mAgent.runningTokens()));
    }

    private boolean allFinished() {
        TaskState finished = new TaskState.Ended(TaskResult.FINISHED);
        return mCluster.mState.work().jobs().values().stream()
                .flatMap(job -> job.tasks().stream())
                .allMatch(task -> task.state().equals(finished));
    }

    private void injectFailure(int kind) {
        FakeWorker worker = mCluster.mWorkers.get(mRandom.nextInt(mCluster.mWorkers.size()));
        FakeInstance instance = anyInstance();
        FakeLink link = mCluster.link(instance, worker);
        switch (kind) {
            case 0 -> worker.restart(mCluster.mNowNanos);
            case 1 -> worker.mPaused = !worker.mPaused;
            case 2 -> instance.mPaused = !instance.mPaused;
            case 3 -> link.drop();
            case 4 -> link.mDisconnected = !link.mDisconnected;
            case 5 -> link.mStalled = !link.mStalled;
            case 6 -> worker.mLosesReports = !worker.mLosesReports;
            case 7 -> instance.mReadsLog = !instance.mReadsLog;
            case 9 -> instance.mAppends = !instance.mAppends;
            case 8 ->
                    instance.mReceivesPromises =
                            instance.mReceivesPromises ? false : instance.member();
            default -> changeMembers();
        }
    }

    private FakeInstance anyInstance() {
        return mCluster.mInstances.get(mRandom.nextInt(mCluster.mInstances.size()));
    }

    private void changeMembers() {
        if (mCluster.mInstances.size() < 5) {
            int index = mJoinCount++;
            mCluster.mInstances.add(new FakeInstance("i" + index, index, "d" + index % 3));
            return;
        }
        FakeInstance target = anyInstance();
        FakeInstance author = anyInstance();
        if (target != author && author.member() && author.mAppends && !author.mPaused) {
            // Other members stop giving promises to a member before its removal is in the log.
            target.mReceivesPromises = false;
            author.append(new RemoveAbsentMember(target.mId, target.mIncarnation, 1));
            mCluster.step();
            boolean removed =
                    mCluster.mState.members().find(target.mId, target.mIncarnation).isEmpty();
            if (removed && mRandom.nextBoolean()) {
                mCluster.mInstances.remove(target);
                mCluster.mWorkers.forEach(w -> mCluster.link(target, w).drop());
            }
        }
        mCluster.mInstances.removeIf(
                i ->
                        mCluster.mInstances.size() > 2
                                && i.mSequence > 1
                                && mCluster.mState.members().find(i.mId, i.mIncarnation).isEmpty()
                                && !i.active(mCluster.mNowNanos));
    }

    /** Places pending tasks and evicts some, based on the state as read by a random member. */
    private void decide() {
        FakeInstance author = anyInstance();
        if (!author.member() || author.mPaused || mRandom.nextInt(5) > 0) {
            return;
        }
        for (TaskId task : List.copyOf(author.mState.work().pending())) {
            FakeWorker worker = mCluster.mWorkers.get(mRandom.nextInt(mCluster.mWorkers.size()));
            var known = author.mState.work().workers().get(worker.id());
            if (known != null) {
                long incarnation = known.registration().incarnation();
                author.append(new PlaceTask(task, worker.id(), incarnation));
            }
        }
        if (mRandom.nextInt(20) == 0) {
            for (var worker : author.mState.work().workers().values()) {
                new TreeMap<>(worker.tasks())
                        .forEach(
                                (task, token) ->
                                        author.append(
                                                new StopTask(task, token, StopReason.PREEMPTED)));
            }
        }
    }

    private void clearFailures() {
        mCluster.mInstances.forEach(
                instance -> {
                    instance.mPaused = false;
                    instance.mReadsLog = true;
                    instance.mAppends = true;
                    instance.mReceivesPromises = false;
                });
        for (FakeWorker worker : mCluster.mWorkers) {
            worker.mPaused = false;
            worker.mLosesReports = false;
            worker.mLinks.values().forEach(link -> link.mDisconnected = false);
            worker.mLinks.values().forEach(link -> link.mStalled = false);
        }
        // Remove members whose process is gone, as the platform's list would report.
        FakeInstance author =
                mCluster.mInstances.stream().filter(FakeInstance::member).findFirst().orElseThrow();
        mCluster.mState.members().all().values().stream()
                .filter(
                        m ->
                                mCluster.mInstances.stream()
                                        .noneMatch(i -> i.mId.equals(m.instance())))
                .forEach(
                        m ->
                                author.append(
                                        new RemoveAbsentMember(m.instance(), m.incarnation(), 1)));
    }
}
