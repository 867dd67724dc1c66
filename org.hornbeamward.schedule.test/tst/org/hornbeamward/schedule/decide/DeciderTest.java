package org.hornbeamward.schedule.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.RejectJob;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.policy.BestFitPolicy;
import org.hornbeamward.state.CommandResult;
import org.junit.jupiter.api.Test;

class DeciderTest {
    private static TestCluster cluster(int workerCount) {
        return new TestCluster(new BestFitPolicy(), workerCount);
    }

    /**
     * Guards against committing the same capacity twice before the first decision is read from the
     * log.
     */
    @Test
    void decisionsInFlightNeitherRepeatNorOverbook() {
        TestCluster cluster = cluster(2);
        cluster.submit("j", "t", JobKind.BATCH, 20, 1000, false);
        List<Command> first = cluster.decide(1);
        List<Command> second = cluster.decide(2);
        assertEquals(8, first.size());
        assertEquals(List.of(), second);
        assertTrue(cluster.apply(first).stream().allMatch(CommandResult::accepted));
    }

    /**
     * Guards against a decider that waits forever for decisions that were lost while the log was
     * unavailable.
     */
    @Test
    void decisionsInFlightExpire() {
        TestCluster cluster = cluster(1);
        cluster.submit("j", "t", JobKind.BATCH, 1, 1000, false);
        assertEquals(1, cluster.decide(1).size());
        assertEquals(1, cluster.decide(12).size());
    }

    /**
     * Guards against urgent work that waits on a full cluster, and against unnecessary preemptions.
     */
    @Test
    void urgentWorkPreemptsOneBatchTaskAndTakesItsRoom() {
        TestCluster cluster = cluster(2);
        cluster.submit("j", "t", JobKind.BATCH, 8, 1000, false);
        cluster.decideAndApply(1);
        cluster.submit("now", "u", JobKind.BATCH, 1, 1000, true);
        List<StopTask> stops = TestCluster.commandsOfType(cluster.decide(2), StopTask.class);
        assertEquals(1, stops.size());
        assertEquals(StopReason.PREEMPTED, stops.get(0).reason());
        cluster.apply(List.copyOf(stops));
        assertEquals(List.of(), cluster.decide(3));
        StopTask stop = stops.get(0);
        cluster.apply(new EndTask(stop.task(), stop.token(), TaskOutcome.STOPPED, 0));
        List<PlaceTask> places = TestCluster.commandsOfType(cluster.decide(4), PlaceTask.class);
        assertEquals(List.of("now/0"), places.stream().map(p -> p.task().toString()).toList());
    }

    /** Guards against a team that takes the whole cluster because its job was submitted first. */
    @Test
    void teamsGetEqualShares() {
        TestCluster cluster = cluster(2);
        cluster.submit("first", "t", JobKind.BATCH, 8, 1000, false);
        cluster.submit("second", "u", JobKind.BATCH, 8, 1000, false);
        cluster.decideAndApply(1);
        assertEquals(4000, cluster.mState.work().usedBy(new TeamId("t")).cpuMillicores());
        assertEquals(4000, cluster.mState.work().usedBy(new TeamId("u")).cpuMillicores());
    }

    /** Guards against a service that loses all its tasks when one failure domain fails. */
    @Test
    void servicesSpreadOverFailureDomains() {
        TestCluster cluster = cluster(4);
        cluster.submit("s", "t", JobKind.SERVICE, 4, 500, false);
        Set<WorkerId> workers = new HashSet<>();
        TestCluster.commandsOfType(cluster.decide(1), PlaceTask.class)
                .forEach(p -> workers.add(p.worker()));
        long inA = workers.stream().filter(w -> List.of("w0", "w2").contains(w.value())).count();
        assertTrue(inA >= 1 && inA < workers.size());
    }

    /** Guards against repeated decisions about a job that can never run. */
    @Test
    void infeasibleJobIsRejectedOnceAfterTheDelay() {
        TestCluster cluster = new TestCluster(new BestFitPolicy(), 0);
        cluster.apply(
                new SubmitJob(
                        "c",
                        new JobSpec(
                                new JobId("large"),
                                new TeamId("t"),
                                "pack",
                                JobKind.BATCH,
                                1,
                                new Resources(64_000, 100, 0),
                                false,
                                false,
                                0,
                                0)));
        cluster.apply(register());
        assertEquals(List.of(), cluster.decide(1));
        List<RejectJob> rejects = TestCluster.commandsOfType(cluster.decide(40), RejectJob.class);
        assertEquals(1, rejects.size());
        assertTrue(rejects.get(0).reason().contains("no worker is large enough"));
        assertEquals(List.of(), cluster.decide(41));
    }

    private static Command register() {
        return new RegisterWorker(
                new WorkerId("w0"),
                1,
                new FailureDomainId("a"),
                new RegionId("r"),
                "rack",
                new Resources(4000, 8000, 0),
                "",
                0);
    }

    /**
     * Guards against placements in a failure domain that was taken out, and against stopping its
     * batch tasks before its services.
     */
    @Test
    void takenOutDomainGetsNoPlacementsAndMovesServicesFirst() {
        TestCluster cluster = cluster(2);
        cluster.submit("s", "t", JobKind.SERVICE, 2, 500, false);
        cluster.submit("j", "t", JobKind.BATCH, 4, 500, false);
        cluster.decideAndApply(1);
        cluster.apply(new TakeOutDomain("out", new FailureDomainId("a"), 0, 100_000, false));
        cluster.submit("more", "t", JobKind.BATCH, 8, 500, false);
        List<Command> decided = cluster.decide(2);
        assertTrue(
                TestCluster.commandsOfType(decided, PlaceTask.class).stream()
                        .allMatch(place -> place.worker().value().equals("w1")));
        List<StopTask> stops = TestCluster.commandsOfType(decided, StopTask.class);
        assertEquals(1, stops.size());
        assertEquals(new JobId("s"), stops.get(0).task().job());
        cluster.apply(decided);
        List<StopTask> later = TestCluster.commandsOfType(cluster.decide(95), StopTask.class);
        assertTrue(later.stream().allMatch(stop -> stop.reason() == StopReason.DOMAIN_OUT));
        long heldByBatch =
                Objects.requireNonNull(cluster.mState.work().workers().get(new WorkerId("w0")))
                        .tasks()
                        .keySet()
                        .stream()
                        .filter(task -> task.job().equals(new JobId("j")))
                        .count();
        assertEquals(heldByBatch, later.size());
    }

    /** Guards against a failing worker that attracts tasks because it always has free capacity. */
    @Test
    void workerWithFailuresIsAvoidedBeforeQuarantine() {
        TestCluster cluster = cluster(2);
        cluster.submit("j", "t", JobKind.BATCH, 1, 1000, false);
        PlaceTask place = TestCluster.commandsOfType(cluster.decide(1), PlaceTask.class).get(0);
        long token = cluster.apply(place).get(0).token();
        cluster.apply(new EndTask(place.task(), token, TaskOutcome.FAILED, 0));
        cluster.submit("k", "t", JobKind.BATCH, 4, 1000, false);
        List<PlaceTask> next = TestCluster.commandsOfType(cluster.decide(2), PlaceTask.class);
        assertTrue(next.stream().noneMatch(p -> p.worker().equals(place.worker())));
        assertEquals(4, next.size());
    }
}
