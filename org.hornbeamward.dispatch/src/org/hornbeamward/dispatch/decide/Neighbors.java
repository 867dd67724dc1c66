package org.hornbeamward.dispatch.decide;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.dispatch.job.StepSpec;

/** The serving tasks and fillers of a worker, as they matter to a task that may join them. */
public final class Neighbors {
    private static final double MILLICORES_PER_CORE = 1_000.0;

    /** Share of the filler images that an unknown serving image is assumed to keep away. */
    private static final double UNKNOWN_KEPT_AWAY_SHARE = 0.4;

    /** Headroom a core at which a filler no longer fits beside a serving task at its peak. */
    private static final double HEAVY_PER_CORE = 0.4;

    /** Part of a filler's cost that counts even where there is headroom. */
    private static final double STEADY_SHARE = 0.3;

    /** Cost of a filler below which it does no harm anywhere. */
    private static final double HARMLESS_COST = 0.3;

    /** Part of a filler's cost that may be missing; with more it works at less than half speed. */
    private static final double HARMFUL_SHARE = 0.5;

    private final PressureModel mModel;
    private final Map<String, Double> mMargins = new HashMap<>();

    /**
     * Describes a worker.
     *
     * @param model what is known of images
     * @param headroom expected headroom without fillers by serving image, the lowest of its tasks
     * @param fillerCores cores that the fillers present ask for by image
     */
    public Neighbors(
            PressureModel model, Map<String, Double> headroom, Map<String, Double> fillerCores) {
        mModel = model;
        headroom.forEach(
                (image, without) ->
                        mMargins.put(
                                image,
                                without - Pacing.KEPT_HEADROOM - model.cost(image, fillerCores)));
    }

    private double taken(String image, StepSpec filler) {
        return filler.size().cpuMillicores()
                / MILLICORES_PER_CORE
                * mModel.perCore(image, filler.image());
    }

    /**
     * Returns how much a filler would press on the serving tasks here.
     *
     * @param filler step of the filler
     * @return headroom that it takes where there is none left, and a part of what it takes anyway
     */
    public double pressure(StepSpec filler) {
        double pressure = 0;
        for (Map.Entry<String, Double> margin : mMargins.entrySet()) {
            double taken = taken(margin.getKey(), filler);
            double missing = Math.min(taken, Math.max(0, taken - margin.getValue()));
            pressure = Math.max(pressure, STEADY_SHARE * taken + missing);
        }
        return pressure;
    }

    /**
     * Returns whether a filler would have to work at less than half its speed.
     *
     * @param filler step of the filler
     * @return true if a serving task here lacks the headroom
     */
    public boolean isHarmedBy(StepSpec filler) {
        for (Map.Entry<String, Double> margin : mMargins.entrySet()) {
            double taken = taken(margin.getKey(), filler);
            if (taken > HARMLESS_COST && margin.getValue() < HARMFUL_SHARE * taken) {
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
