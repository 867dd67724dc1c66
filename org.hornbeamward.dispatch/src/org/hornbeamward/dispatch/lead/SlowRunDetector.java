package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.hornbeamward.dispatch.decide.RunSpeed;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;

/**
 * Measures the speed of runs by the reports of polls, marks workers as slow, and selects the runs
 * that another worker would complete sooner.
 */
final class SlowRunDetector {
    private final Loop mLoop;

    SlowRunDetector(Loop loop) {
        mLoop = loop;
    }

    /** Records the duration of a run that has completed its task. */
    void runDone(Run run) {
        if (run.state == Run.State.PRESENT
                && !run.resumed
                && isMeasured(run)
                && !run.task.step.spec.filler()) {
            long durationMillis = Math.max(1, mLoop.nowMillis() - run.confirmedMillis);
            long usualMillis = run.task.step.usualMillis(run.task);
            run.task.step.projectedMillis[run.task.name.index()] = durationMillis;
            if (usualMillis > 0) {
                run.worker.noteSpeed(run, (double) usualMillis / durationMillis);
            }
        }
    }

    private static boolean isMeasured(Run run) {
        StepSpec spec = run.task.step.spec;
        return !spec.longRunning() && !spec.gang();
    }

    /**
     * Records the progress that a poll has reported.
     *
     * @param worker worker that was polled
     * @param isMovable tells whether a better worker has room for a run
     * @return the runs that should be stopped and started on another worker
     */
    List<Run> observe(WorkerSession worker, Predicate<Run> isMovable) {
        boolean wasSlow = worker.isSlow();
        for (Run run : worker.runs()) {
            if (run.state == Run.State.PRESENT && isMeasured(run)) {
                observe(run);
            }
        }
        if (!worker.isSlow()) {
            return List.of();
        }
        if (!wasSlow) {
            LogEvent.WORKER_SLOW.log(worker.id(), worker.describeSpeeds());
        }
        List<Run> moves = new ArrayList<>();
        for (Run run : worker.runs()) {
            if (run.state == Run.State.PRESENT
                    && isMeasured(run)
                    && !run.stopping
                    && run.task.moveCount < Task.MAX_MOVE_COUNT
                    && isWorthMoving(run)
                    && isMovable.test(run)) {
                moves.add(run);
            }
        }
        return moves;
    }

    private void observe(Run run) {
        long now = mLoop.nowMillis();
        if (run.observedMillis == Run.NEVER) {
            run.resumed |= !run.task.checkpoint.isEmpty() && run.reportedProgressPercent > 0;
            run.observedMillis = run.resumed ? now : run.confirmedMillis;
            run.firstPercent = run.resumed ? run.reportedProgressPercent : 0;
        }
        StepSpec spec = run.task.step.spec;
        // A filler gets only the processor time that other tasks leave unused.
        double share =
                spec.filler()
                        ? Math.min(1.0, run.reportedLoad / Math.max(1, spec.size().cpuMillicores()))
                        : 1.0;
        run.workedMillis += (long) (share * Math.max(0, now - run.observedMillis));
        run.observedMillis = now;
        RunSpeed.Progress progress = run.progress();
        if (!progress.isKnown()) {
            return;
        }
        Step step = run.task.step;
        step.projectedMillis[run.task.name.index()] = progress.projectedMillis();
        long usualMillis = step.usualMillis(run.task);
        if (usualMillis > 0) {
            run.worker.noteSpeed(run, (double) usualMillis / progress.projectedMillis());
        }
    }

    private static boolean isWorthMoving(Run run) {
        Step step = run.task.step;
        long usualMillis = step.usualMillis(run.task);
        return usualMillis > 0
                && run.progress().isKnown()
                && RunSpeed.isWorthMoving(run.progress(), usualMillis, step.spec.checkpointing());
    }
}
