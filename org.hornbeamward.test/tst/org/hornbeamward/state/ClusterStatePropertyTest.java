package org.hornbeamward.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;

/** Guards the invariants of the state after any sequence of commands, repeats and restarts. */
class ClusterStatePropertyTest {
    private static final int TRIES = 1_000;

    @Provide
    Arbitrary<List<Step>> scenarios() {
        return Step.scenarios();
    }

    @Property(seed = "1", tries = TRIES)
    void noWorkerIsCommittedBeyondItsCapacity(@ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        for (Step step : steps) {
            scenario.apply(step);
            Map<WorkerId, Resources> expected = scenario.mState.work().recomputeCommitted();
            for (WorkerStatus worker : scenario.mState.work().workers().values()) {
                assertTrue(worker.committed().fitsIn(worker.registration().capacity()));
                assertEquals(expected.get(worker.worker()), worker.committed());
            }
        }
    }

    @Property(seed = "2", tries = TRIES)
    void eachTaskHoldsResourcesOnAtMostOneWorker(@ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        for (Step step : steps) {
            scenario.apply(step);
            Set<TaskId> held = new HashSet<>();
            for (WorkerStatus worker : scenario.mState.work().workers().values()) {
                for (TaskId task : worker.tasks().keySet()) {
                    assertTrue(held.add(task), "task holds resources on two workers: " + task);
                    assertFalse(scenario.mState.work().pending().contains(task));
                }
            }
        }
    }

    @Property(seed = "3", tries = TRIES)
    void eachPlacementEndsAtMostOnceAndTokensGrow(@ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        steps.forEach(scenario::apply);
        Map<TaskId, Long> openTokens = new HashMap<>();
        Map<TaskId, Long> newestTokens = new HashMap<>();
        for (CommandResult result : scenario.mResults) {
            if (!result.accepted()) {
                continue;
            }
            if (result.command() instanceof PlaceTask place) {
                assertTrue(newestTokens.getOrDefault(place.task(), 0L) < result.token());
                newestTokens.put(place.task(), result.token());
                openTokens.put(place.task(), result.token());
            } else if (result.command() instanceof EndTask end) {
                assertEquals(
                        openTokens.remove(end.task()),
                        end.token(),
                        "placement ended twice: " + end);
            }
        }
    }

    @Property(seed = "4", tries = TRIES)
    void nothingIsPlacedInDomainsTakenOut(@ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        for (Step step : steps) {
            int resultCountBefore = scenario.mResults.size();
            ClusterState state = scenario.mState;
            scenario.apply(step);
            for (CommandResult result :
                    scenario.mResults.subList(resultCountBefore, scenario.mResults.size())) {
                if (result.accepted() && result.command() instanceof PlaceTask place) {
                    WorkerStatus worker =
                            Objects.requireNonNull(state.work().workers().get(place.worker()));
                    assertTrue(
                            state.domains()
                                    .status(worker.registration().failureDomain())
                                    .inService());
                }
            }
        }
    }

    @Property(seed = "5", tries = TRIES)
    void acceptedConfigurationNeverReverts(@ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        String expected = scenario.mState.config().entries().get("team/b");
        long version = scenario.mState.config().version();
        for (Step step : steps) {
            int resultCountBefore = scenario.mResults.size();
            scenario.apply(step);
            for (CommandResult result :
                    scenario.mResults.subList(resultCountBefore, scenario.mResults.size())) {
                if (result.accepted() && result.command() instanceof PublishConfig publish) {
                    assertEquals(version, publish.baseVersion());
                    version = result.token();
                    expected = publish.changedEntries().get("team/b");
                }
            }
            assertEquals(version, scenario.mState.config().version());
            assertEquals(expected, scenario.mState.config().entries().get("team/b"));
        }
    }

    @Property(seed = "6", tries = TRIES)
    void heldAndReleasedSlotsNeverExceedTheEndpoint(@ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        for (Step step : steps) {
            scenario.apply(step);
            SlotTable slots = scenario.mState.slots();
            int held =
                    slots.holders(Scenario.ENDPOINT).values().stream()
                            .mapToInt(Integer::intValue)
                            .sum();
            int free = slots.free(Scenario.ENDPOINT, Scenario.SLOT_COUNT, Long.MAX_VALUE);
            assertEquals(Scenario.SLOT_COUNT, held + free);
            int freeWithoutWaiting = slots.free(Scenario.ENDPOINT, Scenario.SLOT_COUNT, 0);
            assertTrue(freeWithoutWaiting <= free);
            assertTrue(held >= 0);
        }
    }

    @Property(seed = "7", tries = TRIES)
    void aSnapshotAtAnyRecordGivesTheSameState(@ForAll("scenarios") List<Step> steps) {
        Scenario uninterrupted = new Scenario();
        Scenario restored = new Scenario();
        for (Step step : steps) {
            uninterrupted.apply(step);
            restored.apply(step);
            restored.restore();
        }
        assertArrayEquals(
                StateSnapshot.encode(uninterrupted.mState), StateSnapshot.encode(restored.mState));
    }

    @Property(seed = "8", tries = TRIES)
    void pendingTasksAndHeldTasksAreAllTasksThatHaveNotEnded(
            @ForAll("scenarios") List<Step> steps) {
        Scenario scenario = new Scenario();
        steps.forEach(scenario::apply);
        WorkTable work = scenario.mState.work();
        int heldCount =
                work.workers().values().stream().mapToInt(worker -> worker.tasks().size()).sum();
        long openCount =
                work.jobs().values().stream()
                        .flatMap(job -> job.tasks().stream())
                        .filter(task -> !(task.state() instanceof TaskState.Ended))
                        .count();
        assertEquals(openCount, heldCount + work.pending().size());
    }
}
