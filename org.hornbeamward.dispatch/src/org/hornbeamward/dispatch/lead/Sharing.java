package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import org.hornbeamward.dispatch.decide.Neighbors;
import org.hornbeamward.dispatch.decide.Pacing;
import org.hornbeamward.dispatch.decide.PressureModel;
import org.hornbeamward.dispatch.decide.ServingGroup;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.Loop;

/** Learns from looks how fillers press on serving tasks, and paces them on each worker. */
final class Sharing {
    /** Headroom of a serving task that has reported nothing yet. */
    private static final double UNKNOWN_HEADROOM = 2.0;

    /** Pace up to which a filler makes no useful progress. */
    private static final int SLOW_PERCENT = 25;

    /** Time at such a pace after which a filler is better off elsewhere; two reports. */
    private static final long STUCK_MILLIS = 800;

    /** Done share of a task without checkpoints up to which little is lost by a move. */
    private static final int FRESH_PERCENT = 20;

    /** Moves of one task; each costs a stop, a start and the time to resume. */
    private static final int MAX_MOVE_COUNT = 3;

    private final Loop mLoop;
    private final PressureModel mModel = new PressureModel();
    private final Map<Step, ServingGroup> mGroups = new WeakHashMap<>();

    Sharing(Loop loop) {
        mLoop = loop;
    }

    /** Returns what was learned, for a record that a later leader reads. */
    byte[] encodeLearned() {
        return PressureCodec.encode(mModel.learned());
    }

    /**
     * Starts from what an earlier leader has learned.
     *
     * @param bytes its record
     * @throws org.hornbeamward.codec.Reader.MalformedInputException if the bytes are no such record
     */
    void restoreLearned(byte[] bytes) {
        mModel.restore(PressureCodec.decode(bytes));
    }

    /** Describes what shares a worker, for placing another task there. */
    Neighbors neighbors(Collection<Run> runs) {
        Map<String, Double> fillerCores = new HashMap<>();
        List<Neighbors.Serving> serving = new ArrayList<>();
        for (Run run : runs) {
            StepSpec spec = run.task.step.spec;
            if (spec.filler()) {
                fillerCores.merge(spec.image(), spec.cores(), Double::sum);
            } else if (spec.serving()) {
                serving.add(new Neighbors.Serving(spec.image(), expectedHeadroom(run)));
            }
        }
        return new Neighbors(mModel, serving, fillerCores);
    }

    private double expectedHeadroom(Run run) {
        ServingGroup group = mGroups.get(run.task.step);
        return group == null || !group.isKnown()
                ? UNKNOWN_HEADROOM
                : group.expectedHeadroom(run.task.name.index());
    }

    /** Learns from a look and adjusts the pace of the worker's fillers. */
    void looked(WorkerSession worker) {
        if (worker.lastingCpuMillicores() == 0) {
            return;
        }
        Map<String, Double> usedCores = new HashMap<>();
        for (Run run : worker.runs()) {
            StepSpec spec = run.task.step.spec;
            if (spec.filler() && run.state == Run.State.PRESENT) {
                usedCores.merge(
                        spec.image(), run.reportedLoad / StepSpec.MILLICORES_PER_CORE, Double::sum);
            }
        }
        for (Run run : worker.runs()) {
            if (run.task.step.spec.serving() && run.reportedLoad > 0) {
                observe(run, usedCores);
            }
        }
        pace(worker);
    }

    /**
     * Adjusts the pace of the worker's fillers to what is known. A filler starts at full speed, so
     * this is due at every start too.
     */
    void pace(WorkerSession worker) {
        List<Run> fillerRuns = new ArrayList<>();
        List<Pacing.Filler> fillers = new ArrayList<>();
        List<Pacing.Serving> serving = new ArrayList<>();
        for (Run run : worker.runs()) {
            StepSpec spec = run.task.step.spec;
            if (spec.filler() && run.state == Run.State.PRESENT) {
                fillerRuns.add(run);
                fillers.add(new Pacing.Filler(spec.image(), spec.cores(), run.pacePercent));
            } else if (spec.serving() && run.reportedLoad > 0) {
                serving.add(serving(run));
            }
        }
        int[] percents = Pacing.percents(serving, fillers, mModel::perCore);
        for (int index = 0; index < percents.length; index++) {
            Run run = fillerRuns.get(index);
            worker.pace(run, percents[index]);
            run.slowSinceMillis =
                    percents[index] > SLOW_PERCENT
                            ? Long.MAX_VALUE
                            : Math.min(run.slowSinceMillis, mLoop.nowMillis());
        }
    }

    private void observe(Run run, Map<String, Double> usedCores) {
        StepSpec spec = run.task.step.spec;
        double headroom = spec.tailTargetMillis() / run.reportedLoad;
        mGroups.computeIfAbsent(run.task.step, key -> new ServingGroup())
                .report(
                        run.task.name.index(),
                        mLoop.nowMillis(),
                        headroom,
                        usedCores,
                        mModel.cost(spec.image(), usedCores))
                .ifPresent(difference -> mModel.observe(spec.image(), difference));
        if (headroom < 1.0) {
            run.missedSinceMillis = Math.min(run.missedSinceMillis, mLoop.nowMillis());
        } else {
            run.missedSinceMillis = Long.MAX_VALUE;
        }
    }

    private Pacing.Serving serving(Run run) {
        ServingGroup group = mGroups.get(run.task.step);
        double unloaded =
                group == null ? UNKNOWN_HEADROOM : group.unloadedHeadroom(run.task.name.index());
        long missedMillis = Math.max(0, mLoop.nowMillis() - run.missedSinceMillis);
        return new Pacing.Serving(run.task.step.spec.image(), unloaded, missedMillis);
    }

    /** Returns the fillers of a worker that have been slow for long and lose little by a move. */
    List<Run> stuck(WorkerSession worker) {
        List<Run> stuck = new ArrayList<>();
        for (Run run : worker.runs()) {
            boolean slow = mLoop.nowMillis() - run.slowSinceMillis >= STUCK_MILLIS;
            boolean cheap =
                    run.task.step.spec.checkpointing() || run.reportedPercent < FRESH_PERCENT;
            if (slow && cheap && !run.stopping && run.task.moveCount < MAX_MOVE_COUNT) {
                stuck.add(run);
            }
        }
        return stuck;
    }
}
