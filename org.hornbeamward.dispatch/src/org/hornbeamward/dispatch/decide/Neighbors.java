package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.job.StepSpec;

/** The serving tasks and fillers of a worker, as they matter to a task that may join them. */
public final class Neighbors {
    /** Share of the filler images that an unknown serving image is assumed to keep away. */
    private static final double UNKNOWN_KEPT_AWAY_SHARE = 0.4;

    /** Headroom a core at which a filler no longer fits beside a serving task at its peak. */
    private static final double HEAVY_PER_CORE = 0.4;

    /** Headroom above the target below which heavy fillers slow down. */
    private static final double KEPT = Pacing.KEPT_HEADROOM - 1.0;

    /** Cost of a filler below which it does no harm anywhere. */
    private static final double HARMLESS_COST = 0.3;

    /** Part of a filler's cost that may be missing; with more it works at less than half speed. */
    private static final double HARMFUL_SHARE = 0.5;

    /** Range of headroom over which a miss of the target turns from unlikely to likely. */
    private static final double UNCERTAIN_HEADROOM = 1.0;

    private final PressureModel mModel;

    /** Headroom above the target, with the fillers that are present, of the tasks of each image. */
    private final Map<String, List<Double>> mMargins = new HashMap<>();

    /**
     * A serving task.
     *
     * @param image its image
     * @param headroom headroom that it is expected to have without fillers
     */
    public record Serving(String image, double headroom) {}

    /**
     * Describes a worker.
     *
     * @param model what is known of images
     * @param serving its serving tasks
     * @param fillerCores cores that the fillers present ask for by image
     */
    public Neighbors(PressureModel model, List<Serving> serving, Map<String, Double> fillerCores) {
        mModel = model;
        Map<String, Double> costs = new HashMap<>();
        for (Serving task : serving) {
            double cost =
                    costs.computeIfAbsent(task.image(), image -> model.cost(image, fillerCores));
            mMargins.computeIfAbsent(task.image(), image -> new ArrayList<>())
                    .add(task.headroom() - cost - 1.0);
        }
    }

    private double taken(String image, StepSpec filler) {
        return filler.cores() * mModel.perCore(image, filler.image());
    }

    /**
     * Returns how much a filler would press on the serving tasks here.
     *
     * @param filler step of the filler
     * @return the number of tasks that would miss their targets on its account, and the headroom
     *     that it takes where it would have to slow down
     */
    public double pressure(StepSpec filler) {
        double missed = 0;
        double slowed = 0;
        for (Map.Entry<String, List<Double>> margins : mMargins.entrySet()) {
            double taken = taken(margins.getKey(), filler);
            for (double margin : margins.getValue()) {
                double left = margin - taken;
                missed += missProbability(left) - missProbability(margin);
                slowed = Math.max(slowed, Math.min(taken, KEPT - left));
            }
        }
        return missed + slowed;
    }

    private static double missProbability(double headroom) {
        return Math.max(0, Math.min(1, 0.5 - headroom / UNCERTAIN_HEADROOM));
    }

    /**
     * Returns whether a filler would have to work at less than half its speed.
     *
     * @param filler step of the filler
     * @return true if a serving task here lacks the headroom
     */
    public boolean isHarmedBy(StepSpec filler) {
        for (Map.Entry<String, List<Double>> margins : mMargins.entrySet()) {
            double taken = taken(margins.getKey(), filler);
            if (taken > HARMLESS_COST
                    && Collections.min(margins.getValue()) - KEPT < HARMFUL_SHARE * taken) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns the share of filler images that a serving task would keep away from here and that the
     * others do not.
     *
     * @param image image of the serving task
     * @return 0 if it changes nothing
     */
    public double keptAwayShare(String image) {
        if (mMargins.containsKey(image)) {
            return 0;
        }
        if (!mModel.isKnown(image)) {
            return UNKNOWN_KEPT_AWAY_SHARE;
        }
        double share = 0;
        for (String filler : mModel.fillerImages(image)) {
            double present = 0;
            for (String other : mMargins.keySet()) {
                present = Math.max(present, mModel.perCore(other, filler));
            }
            double more = mModel.perCore(image, filler) - present;
            share += Math.min(1.0, Math.max(0, more) / HEAVY_PER_CORE);
        }
        return share / Math.max(1, mModel.fillerImages(image).size());
    }
}
