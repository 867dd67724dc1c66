package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.job.StepSpec;
import org.jspecify.annotations.Nullable;

/** The serving tasks and fillers of a worker, as they affect the placement of another task. */
public final class Neighbors {
    /** Share of the filler images that a serving image without samples is assumed to exclude. */
    private static final double UNKNOWN_EXCLUDED_SHARE = 0.4;

    /** Headroom per core at which a filler no longer fits beside a serving task at peak load. */
    private static final double HEAVY_COST_PER_CORE = 0.4;

    /** Headroom above the target below which heavy fillers are slowed down. */
    private static final double REQUIRED_MARGIN = Pacing.REQUIRED_HEADROOM - 1.0;

    /** Headroom cost up to which a filler is acceptable beside any serving task. */
    private static final double NEGLIGIBLE_COST = 0.3;

    /**
     * Share of a filler's headroom cost that must be available; with less, the filler would run at
     * less than half speed.
     */
    private static final double MIN_AVAILABLE_COST_SHARE = 0.5;

    /**
     * Interference from which a filler costs more than it earns. A serving task over its target
     * through a filler counts as four that are lost, which is worth about as much as 2.5 running
     * fillers.
     */
    private static final double MAX_HARMLESS_INTERFERENCE = 0.4;

    /** Width of the range of headroom over which a missed target turns from unlikely to likely. */
    private static final double UNCERTAIN_MARGIN_RANGE = 1.0;

    private final InterferenceModel mModel;

    /**
     * Headroom above the target of the tasks of each image, beside the fillers now on the worker.
     */
    private final Map<String, List<Double>> mMargins = new HashMap<>();

    /** The filler evaluated last; the tasks of a step are placed one after another. */
    private @Nullable StepSpec mEvaluated;

    private double mInterference;
    private boolean mHarmed;

    /**
     * A serving task.
     *
     * @param image image that it runs
     * @param headroom expected headroom without fillers
     */
    public record Serving(String image, double headroom) {}

    /**
     * Describes a worker.
     *
     * @param model the learned interference between images
     * @param serving its serving tasks
     * @param fillerCores cores requested by the fillers now on the worker, by image
     */
    public Neighbors(
            InterferenceModel model, List<Serving> serving, Map<String, Double> fillerCores) {
        mModel = model;
        Map<String, Double> costs = new HashMap<>();
        for (Serving task : serving) {
            double cost =
                    costs.computeIfAbsent(task.image(), image -> model.cost(image, fillerCores));
            mMargins.computeIfAbsent(task.image(), image -> new ArrayList<>())
                    .add(task.headroom() - cost - 1.0);
        }
    }

    private double headroomCost(String image, StepSpec filler) {
        return filler.cores() * mModel.perCore(image, filler.image());
    }

    /**
     * Returns how much a filler would interfere with the serving tasks of the worker.
     *
     * @param filler step of the filler
     * @return the expected number of additional tasks that miss their targets, plus the headroom
     *     that the filler takes where it would have to be slowed down
     */
    public double interference(StepSpec filler) {
        evaluate(filler);
        return mInterference;
    }

    private void evaluate(StepSpec filler) {
        if (filler != mEvaluated) {
            mEvaluated = filler;
            mInterference = computeInterference(filler);
            mHarmed = computeHarmed(filler);
        }
    }

    private double computeInterference(StepSpec filler) {
        double addedMisses = 0;
        double slowdown = 0;
        for (Map.Entry<String, List<Double>> margins : mMargins.entrySet()) {
            double cost = headroomCost(margins.getKey(), filler);
            for (double margin : margins.getValue()) {
                double remaining = margin - cost;
                addedMisses += missProbability(remaining) - missProbability(margin);
                slowdown = Math.max(slowdown, Math.min(cost, REQUIRED_MARGIN - remaining));
            }
        }
        return addedMisses + slowdown;
    }

    private static double missProbability(double margin) {
        return Math.max(0, Math.min(1, 0.5 - margin / UNCERTAIN_MARGIN_RANGE));
    }

    /**
     * Returns whether a filler had better wait for another worker: it would have to run at less
     * than half its full speed, or would cost the serving tasks more than it earns. Load pattern: a
     * burst of fillers, each of which takes little headroom, on workers whose serving tasks are at
     * the peaks of their load.
     *
     * @param filler step of the filler
     * @return true if the serving tasks of the worker lack the headroom
     */
    public boolean isHarmedBy(StepSpec filler) {
        evaluate(filler);
        return mHarmed;
    }

    private boolean computeHarmed(StepSpec filler) {
        return mInterference > MAX_HARMLESS_INTERFERENCE || lacksHalfItsHeadroom(filler);
    }

    private boolean lacksHalfItsHeadroom(StepSpec filler) {
        for (Map.Entry<String, List<Double>> margins : mMargins.entrySet()) {
            double cost = headroomCost(margins.getKey(), filler);
            if (cost > NEGLIGIBLE_COST
                    && Collections.min(margins.getValue()) - REQUIRED_MARGIN
                            < MIN_AVAILABLE_COST_SHARE * cost) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the share of filler images that a serving task would exclude from the worker in
     * addition to those that the present serving tasks exclude.
     *
     * @param image image of the serving task
     * @return 0 if no further image is excluded
     */
    public double excludedFillerShare(String image) {
        if (mMargins.containsKey(image)) {
            return 0;
        }
        if (!mModel.isKnown(image)) {
            return UNKNOWN_EXCLUDED_SHARE;
        }
        double share = 0;
        for (String filler : mModel.fillerImages(image)) {
            double presentCost = 0;
            for (String presentImage : mMargins.keySet()) {
                presentCost = Math.max(presentCost, mModel.perCore(presentImage, filler));
            }
            double addedCost = mModel.perCore(image, filler) - presentCost;
            share += Math.min(1.0, Math.max(0, addedCost) / HEAVY_COST_PER_CORE);
        }
        return share / Math.max(1, mModel.fillerImages(image).size());
    }
}
