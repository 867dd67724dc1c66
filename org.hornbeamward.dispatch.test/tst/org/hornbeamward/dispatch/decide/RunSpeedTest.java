package org.hornbeamward.dispatch.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.dispatch.decide.RunSpeed.Progress;
import org.junit.jupiter.api.Test;

/** Replays the progress of tasks on workers that turn slow or stand still. */
class RunSpeedTest {
    /** Guards against a worker at a fifth of its speed that keeps getting tasks. */
    @Test
    void aWorkerWhoseRunsAreAllSlowIsSlow() {
        Progress onSlowWorker = new Progress(600, 13, 13);
        double speed = 820.0 / onSlowWorker.projectedMillis();

        assertTrue(RunSpeed.isSlowWorker(List.of(speed, 0.2)));
    }

    /** Guards against a healthy worker that is avoided because one of its tasks is long. */
    @Test
    void oneLongTaskDoesNotMakeAWorkerSlow() {
        assertFalse(RunSpeed.isSlowWorker(List.of(0.3)));
        assertFalse(RunSpeed.isSlowWorker(List.of(0.3, 0.35, 0.9)));
    }

    /** Guards against a task that stands still until its job is worth nothing. */
    @Test
    void aSingleRunThatStandsStillIsEnough() {
        Progress standing = new Progress(1_000, 0, 0);

        assertTrue(standing.isKnown());
        assertTrue(RunSpeed.isSlowWorker(List.of(800.0 / standing.projectedMillis())));
    }

    /** Guards against verdicts from a few percent of progress or from one other run. */
    @Test
    void youngRunsAndSmallStepsAreNotCompared() {
        assertFalse(new Progress(200, 2, 2).isKnown());
        assertEquals(0, RunSpeed.usualMillis(new long[] {100, 900}));
        assertEquals(800, RunSpeed.usualMillis(new long[] {2_400, 700, 800}));
    }

    /** Guards against moves that finish later than the run would have where it is. */
    @Test
    void aRunIsMovedOnlyIfItGainsTime() {
        assertTrue(RunSpeed.isWorthMoving(new Progress(600, 15, 15), 800, false));
        assertFalse(RunSpeed.isWorthMoving(new Progress(3_400, 85, 85), 800, false));
        assertFalse(RunSpeed.isWorthMoving(new Progress(600, 60, 60), 800, false));
    }

    /** Guards against treating a checkpoint as lost work. */
    @Test
    void aRunWithCheckpointGainsMoreByAMove() {
        Progress halfDone = new Progress(2_000, 50, 50);

        assertFalse(RunSpeed.isWorthMoving(halfDone, 1_200, false));
        assertTrue(RunSpeed.isWorthMoving(halfDone, 1_200, true));
    }
}
