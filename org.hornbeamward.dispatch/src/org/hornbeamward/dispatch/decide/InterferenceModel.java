package org.hornbeamward.dispatch.decide;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model of how strongly the fillers of one image raise the tail latency of the serving tasks of
 * another. The inverse of a tail latency falls linearly with the load of a worker, so the headroom,
 * target over tail latency, is modelled as a base level of the serving task less a coefficient per
 * core of each filler image. The coefficients are fitted by ridge regression to the differences
 * between tasks that share their load; the weight of older samples decays exponentially.
 */
public final class InterferenceModel {
    /** Headroom that a core of a filler without samples is assumed to cost. */
    private static final double PRIOR_PER_CORE = 0.08;

    /**
     * Weight of the prior in squared cores: the variance of a reported headroom, 0.1 to 0.2,
     * divided by that of the coefficients, about 0.1.
     */
    private static final double PRIOR_WEIGHT = 2.0;

    /** Factor applied to the weight of all older samples at each new one. */
    private static final double FORGETTING_FACTOR = 0.9995;

    /** Number of samples of a serving image between two fits. */
    private static final int SAMPLES_PER_FIT_COUNT = 40;

    /**
     * Largest number of filler images with a coefficient of their own for one serving image; others
     * are ignored.
     */
    private static final int MAX_IMAGE_COUNT = 40;

    /** Largest weight, in squared cores, of a coefficient that an earlier leader has learned. */
    private static final double MAX_RESTORED_WEIGHT = 30.0;

    /**
     * Largest number of serving images with a fit; those without samples for longest are forgotten.
     * A fit takes 13 KB.
     */
    private static final int MAX_FIT_COUNT = 256;

    /** Fits by serving image, those without samples for longest first. */
    private final Map<String, Fit> mFits = new LinkedHashMap<>();

    /**
     * The learned coefficient of a pair of images.
     *
     * @param serving image of serving tasks
     * @param filler image of fillers
     * @param perCore headroom that a core of the filler costs
     * @param weight weight, in squared cores, of the samples that it is based on
     */
    public record Coefficient(String serving, String filler, double perCore, double weight) {}

    private static final class Fit {
        private final List<String> mImages = new ArrayList<>();
        private final Map<String, Integer> mIndexes = new HashMap<>();
        private final double[][] mNormalMatrix = new double[MAX_IMAGE_COUNT][MAX_IMAGE_COUNT];
        private final double[] mNormalVector = new double[MAX_IMAGE_COUNT];
        private double[] mPerCore = new double[0];
        private int mSamplesSinceFitCount;

        /** Whether it has samples, and not only what an earlier leader has learned. */
        private boolean mObserved;

        private int indexOf(String image) {
            int index = mIndexes.getOrDefault(image, -1);
            if (index < 0 && mImages.size() < MAX_IMAGE_COUNT) {
                index = mImages.size();
                mImages.add(image);
                mIndexes.put(image, index);
                mNormalMatrix[index][index] = PRIOR_WEIGHT;
                mNormalVector[index] = PRIOR_WEIGHT * PRIOR_PER_CORE;
            }
            return index;
        }
    }

    /**
     * Adds a sample: the difference between serving tasks that share their load.
     *
     * @param image image of the serving tasks
     * @param difference the difference of one task from the others
     */
    public void observe(String image, ServingGroup.Difference difference) {
        Fit known = mFits.remove(image);
        Fit fit = known == null ? new Fit() : known;
        fit.mObserved = true;
        mFits.put(image, fit);
        forgetOldFits();
        Map<Integer, Double> cores = new HashMap<>();
        difference
                .fillerCores()
                .forEach((filler, addedCores) -> cores.put(fit.indexOf(filler), addedCores));
        cores.remove(-1);
        addSample(fit, cores, difference.headroom());
    }

    private void forgetOldFits() {
        Iterator<Fit> oldest = mFits.values().iterator();
        while (mFits.size() > MAX_FIT_COUNT) {
            oldest.next();
            oldest.remove();
        }
    }

    private static void addSample(Fit fit, Map<Integer, Double> cores, double lostHeadroom) {
        int count = fit.mImages.size();
        for (int row = 0; row < count; row++) {
            for (int column = 0; column < count; column++) {
                fit.mNormalMatrix[row][column] *= FORGETTING_FACTOR;
            }
            fit.mNormalVector[row] *= FORGETTING_FACTOR;
            fit.mNormalMatrix[row][row] += (1 - FORGETTING_FACTOR) * PRIOR_WEIGHT;
            fit.mNormalVector[row] += (1 - FORGETTING_FACTOR) * PRIOR_WEIGHT * PRIOR_PER_CORE;
        }
        cores.forEach(
                (row, rowCores) -> {
                    cores.forEach(
                            (column, columnCores) ->
                                    fit.mNormalMatrix[row][column] += rowCores * columnCores);
                    fit.mNormalVector[row] += rowCores * lostHeadroom;
                });
        if (++fit.mSamplesSinceFitCount >= SAMPLES_PER_FIT_COUNT) {
            fit.mSamplesSinceFitCount = 0;
            fit.mPerCore = solve(fit);
        }
    }

    /**
     * Solves the normal equations by Gaussian elimination; the prior keeps the matrix non-singular.
     */
    private static double[] solve(Fit fit) {
        int count = fit.mImages.size();
        double[][] rows = new double[count][];
        for (int row = 0; row < count; row++) {
            rows[row] = Arrays.copyOf(fit.mNormalMatrix[row], count + 1);
            rows[row][count] = fit.mNormalVector[row];
        }
        for (int pivot = 0; pivot < count; pivot++) {
            for (int row = pivot + 1; row < count; row++) {
                double factor = rows[row][pivot] / rows[pivot][pivot];
                for (int column = pivot; column <= count; column++) {
                    rows[row][column] -= factor * rows[pivot][column];
                }
            }
        }
        double[] solution = new double[count];
        for (int row = count - 1; row >= 0; row--) {
            double remainder = rows[row][count];
            for (int column = row + 1; column < count; column++) {
                remainder -= rows[row][column] * solution[column];
            }
            solution[row] = remainder / rows[row][row];
        }
        return solution;
    }

    /**
     * Returns the headroom that one core of a filler costs a serving task.
     *
     * @param image image of the serving task
     * @param filler image of the filler
     * @return lost headroom per core, never negative
     */
    public double perCore(String image, String filler) {
        Fit fit = mFits.get(image);
        int index = fit == null ? -1 : fit.mIndexes.getOrDefault(filler, -1);
        if (fit == null || index < 0 || index >= fit.mPerCore.length) {
            return PRIOR_PER_CORE;
        }
        return Math.max(0, fit.mPerCore[index]);
    }

    /**
     * Returns whether coefficients were fitted for a serving image.
     *
     * @param image image of serving tasks
     * @return true after the first fit
     */
    public boolean isKnown(String image) {
        Fit fit = mFits.get(image);
        return fit != null && fit.mPerCore.length > 0;
    }

    /**
     * Returns the filler images that were seen beside a serving image.
     *
     * @param image image of serving tasks
     * @return the filler images
     */
    public List<String> fillerImages(String image) {
        Fit fit = mFits.get(image);
        return fit == null ? List.of() : Collections.unmodifiableList(fit.mImages);
    }

    /**
     * Returns the headroom that fillers cost a serving task.
     *
     * @param image image of the serving task
     * @param fillerCores cores in use by filler image
     * @return lost headroom
     */
    public double cost(String image, Map<String, Double> fillerCores) {
        double cost = 0;
        for (Map.Entry<String, Double> used : fillerCores.entrySet()) {
            cost += used.getValue() * perCore(image, used.getKey());
        }
        return cost;
    }

    /**
     * Returns the learned coefficients, so that a later leader need not learn them again. Those of
     * serving images with samples come before those that an earlier leader has learned, and among
     * them those that differ most from the prior, in proportion to their weight.
     *
     * @return all pairs of images that were seen together, the most useful ones first
     */
    public List<Coefficient> learned() {
        List<Coefficient> observed = new ArrayList<>();
        List<Coefficient> restored = new ArrayList<>();
        mFits.forEach(
                (serving, fit) -> {
                    List<Coefficient> learned = fit.mObserved ? observed : restored;
                    for (int index = 0; index < fit.mPerCore.length; index++) {
                        double weight = fit.mNormalMatrix[index][index];
                        learned.add(
                                new Coefficient(
                                        serving,
                                        fit.mImages.get(index),
                                        fit.mPerCore[index],
                                        weight));
                    }
                });
        Comparator<Coefficient> mostUseful =
                Comparator.comparingDouble(InterferenceModel::usefulness).reversed();
        observed.sort(mostUseful);
        restored.sort(mostUseful);
        observed.addAll(restored);
        return observed;
    }

    /** Returns by how much a model without the coefficient would predict another headroom. */
    private static double usefulness(Coefficient coefficient) {
        double share = coefficient.weight() / (coefficient.weight() + PRIOR_WEIGHT);
        return share * Math.abs(coefficient.perCore() - PRIOR_PER_CORE);
    }

    /**
     * Starts from the coefficients that an earlier leader has learned. New samples outweigh them
     * within seconds.
     *
     * @param learned coefficients that the earlier leader stored, the most useful ones first
     */
    public void restore(List<Coefficient> learned) {
        for (Coefficient coefficient : learned) {
            if (mFits.size() >= MAX_FIT_COUNT && !mFits.containsKey(coefficient.serving())) {
                continue;
            }
            Fit fit = mFits.computeIfAbsent(coefficient.serving(), key -> new Fit());
            int index = fit.indexOf(coefficient.filler());
            if (index >= 0) {
                double weight = Math.min(MAX_RESTORED_WEIGHT, coefficient.weight());
                fit.mNormalMatrix[index][index] += weight;
                fit.mNormalVector[index] += weight * coefficient.perCore();
            }
        }
        mFits.values().forEach(fit -> fit.mPerCore = solve(fit));
    }
}
