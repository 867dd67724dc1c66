package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.WeakHashMap;
import org.hornbeamward.dispatch.decide.InterferenceModel;
import org.hornbeamward.dispatch.decide.Neighbors;
import org.hornbeamward.dispatch.decide.Pacing;
import org.hornbeamward.dispatch.decide.ServingGroup;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.port.Loop;

/**
 * Learns from polls how much fillers slow down serving tasks, and paces the fillers on each worker.
 */
final class FillerController {
    /** Headroom assumed for a serving task that has not reported a tail latency yet. */
    private static final double UNKNOWN_HEADROOM = 2.0;

    /** Pace up to which a filler makes no useful progress. */
    private static final int SLOW_PERCENT = 25;

    /**
     * Time at such a pace, which covers two reports, after which a filler is moved if little work
     * is lost.
     */
    private static final long SLOW_BEFORE_MOVE_MILLIS = 800;

    /** Progress of a task without checkpoints below which a move loses little work. */
    private static final int LITTLE_PROGRESS_PERCENT = 20;

    private final Loop mLoop;
    private final InterferenceModel mModel = new InterferenceModel();
    private final Map<Step, ServingGroup> mGroups = new WeakHashMap<>();

    FillerController(Loop loop) {
        mLoop = loop;
    }

    /** Encodes the learned interference into a record that a later leader reads. */
    byte[] encodeLearned() {
        return InterferenceCodec.encode(mModel.learned());
    }

    /**
     * Restores the interference that a previous leader has learned.
     *
     * @param bytes record that the previous leader stored
     * @throws org.hornbeamward.codec.Reader.MalformedInputException if the bytes are not a record
     *     of learned interference
     */
    void restoreLearned(byte[] bytes) {
        mModel.restore(InterferenceCodec.decode(bytes));
    }

    /** Describes the tasks that share a worker, for the decision to place another one there. */
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

    /** Learns from the reports of a poll and adjusts the pace of the worker's fillers. */
    void learnAndPace(WorkerSession worker) {
        if (worker.longRunningCpuMillicores() == 0) {
            // Fillers may have been slowed down for tasks that have ended.
            pace(worker);
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
     * Adjusts the pace of the worker's fillers to the learned interference. It is also called at
     * every start of a filler, because a filler starts at full speed.
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
            run.lowPaceSinceMillis =
                    percents[index] > SLOW_PERCENT
                            ? Long.MAX_VALUE
                            : Math.min(run.lowPaceSinceMillis, mLoop.nowMillis());
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
            run.targetMissedSinceMillis = Math.min(run.targetMissedSinceMillis, mLoop.nowMillis());
        } else {
            run.targetMissedSinceMillis = Long.MAX_VALUE;
        }
    }

    private Pacing.Serving serving(Run run) {
        ServingGroup group = mGroups.get(run.task.step);
        double unloaded =
                group == null ? UNKNOWN_HEADROOM : group.unloadedHeadroom(run.task.name.index());
        long missedMillis = Math.max(0, mLoop.nowMillis() - run.targetMissedSinceMillis);
        return new Pacing.Serving(run.task.step.spec.image(), unloaded, missedMillis);
    }

    /** Returns the fillers that have been slow for a while and would lose little work by a move. */
    List<Run> movableFillers(WorkerSession worker) {
        List<Run> movable = new ArrayList<>();
        for (Run run : worker.runs()) {
            boolean slow = mLoop.nowMillis() - run.lowPaceSinceMillis >= SLOW_BEFORE_MOVE_MILLIS;
            boolean losesLittle =
                    run.task.step.spec.checkpointing()
                            || run.reportedProgressPercent < LITTLE_PROGRESS_PERCENT;
            if (slow && losesLittle && !run.stopping && run.task.moveCount < Task.MAX_MOVE_COUNT) {
                movable.add(run);
            }
        }
        return movable;
    }
}
