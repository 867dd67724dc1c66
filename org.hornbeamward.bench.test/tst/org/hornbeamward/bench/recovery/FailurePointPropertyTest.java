package org.hornbeamward.bench.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Objects;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.TaskResult;
import org.hornbeamward.state.TaskState;

/** Kills a member at each step from a decision to the acknowledgement of the end of a task. */
class FailurePointPropertyTest {
    private static final long SECOND = 1_000_000_000;

    /**
     * Guards against a task that runs in two places, is lost, finishes twice or resumes from a
     * checkpoint other than the recorded one when another member takes over between two steps.
     */
    @Property(tries = 120, seed = "20261204", shrinking = ShrinkingMode.OFF)
    void tasksRunExactlyOnceAfterAMemberIsKilledAtAnyStep(
            @ForAll FailurePoint point,
            @ForAll @IntRange(max = 8) int skipCount,
            @ForAll boolean restarted,
            @ForAll boolean slowLog,
            @ForAll long seed) {
        SmallCluster small = new SmallCluster(seed);
        if (slowLog) {
            // Heartbeats are sent while the append of the end of a task is still in flight.
            small.mCluster.log().mOneWayNanos = 2 * SECOND;
        }
        small.killAt(point, skipCount);
        Random random = new Random(seed);
        for (int second = 0; second < 12 || small.mVictim == null && second < 60; second++) {
            small.mCluster.time().runFor(SECOND);
            evictOne(small.mCluster, random);
        }
        VirtualMember victim =
                Objects.requireNonNull(small.mVictim, () -> "no member reached " + point);
        if (restarted) {
            small.mCluster.restart(victim);
        }
        for (int second = 0; second < 300 && !allFinished(small.state()); second++) {
            small.mCluster.time().runFor(SECOND);
        }
        assertTrue(allFinished(small.state()), "a task was lost");
        assertExactlyOnce(small.mCluster);
    }

    private static void evictOne(VirtualCluster cluster, Random random) {
        var workers = List.copyOf(cluster.reader().mState.work().workers().values());
        if (!workers.isEmpty()) {
            workers.get(random.nextInt(workers.size())).tasks().entrySet().stream()
                    .findFirst()
                    .ifPresent(
                            task ->
                                    cluster.offer(
                                            new StopTask(
                                                    task.getKey(),
                                                    task.getValue(),
                                                    StopReason.PREEMPTED)));
        }
    }

    private static boolean allFinished(ClusterState state) {
        TaskState finished = new TaskState.Ended(TaskResult.FINISHED);
        return state.work().jobs().size() == 2
                && state.work().jobs().values().stream()
                        .flatMap(job -> job.tasks().stream())
                        .allMatch(task -> task.state().equals(finished));
    }

    private static void assertExactlyOnce(VirtualCluster cluster) {
        RunHistory history = new RunHistory(cluster);
        var recorded = LogReplay.checkpointsAtPlacement(cluster.log());
        assertEquals(0, history.overlapCount(), "a task ran in two places");
        assertEquals(SmallCluster.TASK_COUNT, history.runs().size());
        history.runs()
                .forEach(
                        (task, runs) -> {
                            long ends =
                                    runs.stream()
                                            .filter(run -> run.outcome().startsWith("FINISHED"))
                                            .count();
                            assertEquals(1, ends, task + " ran to its end: " + runs);
                            runs.forEach(
                                    run ->
                                            assertEquals(
                                                    recorded.get(run.token()),
                                                    run.checkpoint(),
                                                    run.toString()));
                        });
    }
}
