package org.hornbeamward.schedule.policy;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamward.lib.JobId;

/**
 * Learns how classes slow each other by recursive least squares on the logarithm of the slowdown,
 * linearised at the current estimate (an extended Kalman filter per victim class), with forgetting.
 * The model is {@code value = level * (1 + sum of coefficient * share of the worker)}, with one
 * level per service (its load) or per job (its unit of progress).
 */
final class SlowdownModel implements SlowdownTable {
    /** Aggressors told apart per victim; further ones share the last place. */
    private static final int MAX_AGGRESSORS = 32;

    /** Jobs whose level is kept. */
    private static final int MAX_LEVELS = 4096;

    /** Keeps about the last 5,000 observations of a victim, so that changes are learnt again. */
    private static final double FORGETTING = 0.9998;

    /** Latency samples are noisier than the progress between checkpoints. */
    private static final double SERVICE_VARIANCE = 0.09;

    private static final double BATCH_VARIANCE = 0.02;

    /** Estimates before any observation: batch work disturbs, services hardly. */
    private static final double PRIOR_SERVICE = 0.8;

    /** Latency over the agreed period of an undisturbed service before any observation. */
    private static final double PRIOR_LEVEL = 0.3;

    private static final double PRIOR_BATCH = 0.3;
    private static final double PRIOR_BY_SERVICE = 0.1;
    private static final double PRIOR_DEVIATION = 1.0;

    /** The level of a service follows its load within about 20 samples. */
    private static final double SERVICE_LEVEL_RATE = 0.05;

    private static final double JOB_LEVEL_RATE = 0.1;

    /** Services are protected by half a standard deviation of pessimism. */
    private static final double SERVICE_PESSIMISM = 0.5;

    private static final class Filter {
        final boolean mService;
        final double[] mMean = new double[MAX_AGGRESSORS];
        final double[][] mCovariance = new double[MAX_AGGRESSORS][MAX_AGGRESSORS];
        int mSize;

        Filter(boolean service) {
            mService = service;
        }
    }

    private final Map<String, Integer> mIndex = new HashMap<>();
    private final Map<String, Boolean> mIsService = new HashMap<>();
    private final Map<String, Filter> mFilters = new HashMap<>();
    private final Map<String, Double> mServiceLevels = new HashMap<>();
    private final Map<JobId, Double> mJobLevels =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, Double> eldest) {
                    return size() > MAX_LEVELS;
                }
            };

    SlowdownModel() {}

    /** Notes the kind of a class. */
    void declare(String className, boolean service) {
        mIsService.putIfAbsent(className, service);
        mIndex.computeIfAbsent(className, unused -> Math.min(mIndex.size(), MAX_AGGRESSORS - 1));
    }

    /** Returns the latency over the agreed period of an undisturbed service at its present load. */
    double serviceLevel(String className) {
        return mServiceLevels.getOrDefault(className, PRIOR_LEVEL);
    }

    /** Learns from a measured latency ratio. */
    void observeService(String victim, double ratio, Map<String, Double> shares) {
        if (!(ratio > 0)) {
            return;
        }
        declare(victim, true);
        Filter filter = filter(victim);
        double[] u = features(filter, shares);
        double predicted = Math.log(predict(filter, u));
        double measured = Math.log(ratio);
        Double level = mServiceLevels.get(victim);
        if (level == null) {
            mServiceLevels.put(victim, Math.exp(measured - predicted));
            return;
        }
        double residual = measured - Math.log(level) - predicted;
        mServiceLevels.put(victim, level * Math.exp(SERVICE_LEVEL_RATE * residual));
        update(filter, u, residual, SERVICE_VARIANCE);
    }

    /** Learns from the progress of a batch task. */
    void observeProgress(Progress progress, Map<String, Double> shares) {
        String victim = progress.job().className();
        declare(victim, false);
        Filter filter = filter(victim);
        double[] u = features(filter, shares);
        double predicted = Math.log(predict(filter, u));
        double measured = -Math.log(progress.perSecond());
        Double level = mJobLevels.get(progress.job().id());
        if (level == null) {
            mJobLevels.put(progress.job().id(), measured - predicted);
            return;
        }
        double residual = measured - level - predicted;
        mJobLevels.put(progress.job().id(), level + JOB_LEVEL_RATE * residual);
        update(filter, u, residual, BATCH_VARIANCE);
    }

    @Override
    public double coefficient(String victim, String aggressor) {
        Filter filter = mFilters.get(victim);
        Integer index = mIndex.get(aggressor);
        if (filter == null || index == null || index >= filter.mSize) {
            boolean service = mIsService.getOrDefault(victim, false);
            return prior(service, mIsService.getOrDefault(aggressor, false))
                    + (service ? SERVICE_PESSIMISM * PRIOR_DEVIATION : 0);
        }
        double pessimism =
                filter.mService
                        ? SERVICE_PESSIMISM * Math.sqrt(filter.mCovariance[index][index])
                        : 0;
        return Math.max(0, filter.mMean[index] + pessimism);
    }

    private static double prior(boolean victimService, boolean aggressorService) {
        if (aggressorService) {
            return PRIOR_BY_SERVICE;
        }
        return victimService ? PRIOR_SERVICE : PRIOR_BATCH;
    }

    private Filter filter(String victim) {
        Filter filter =
                mFilters.computeIfAbsent(
                        victim, name -> new Filter(mIsService.getOrDefault(name, false)));
        String[] names = new String[MAX_AGGRESSORS];
        mIndex.forEach((name, index) -> names[index] = name);
        for (int index = filter.mSize; index < Math.min(mIndex.size(), MAX_AGGRESSORS); index++) {
            boolean service = names[index] != null && mIsService.getOrDefault(names[index], false);
            filter.mMean[index] = prior(filter.mService, service);
            filter.mCovariance[index][index] = PRIOR_DEVIATION * PRIOR_DEVIATION;
            filter.mSize = index + 1;
        }
        return filter;
    }

    private double[] features(Filter filter, Map<String, Double> shares) {
        double[] u = new double[filter.mSize];
        shares.forEach(
                (name, share) -> {
                    Integer index = mIndex.get(name);
                    if (index != null && index < u.length) {
                        u[index] += share;
                    }
                });
        return u;
    }

    private static double predict(Filter filter, double[] u) {
        double slowdown = 1;
        for (int i = 0; i < u.length; i++) {
            slowdown += Math.max(0, filter.mMean[i]) * u[i];
        }
        return slowdown;
    }

    private static void update(Filter filter, double[] u, double residual, double variance) {
        double predicted = predict(filter, u);
        int n = u.length;
        double[] gain = new double[n];
        double innovation = variance;
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                gain[i] += filter.mCovariance[i][j] * u[j] / predicted;
            }
        }
        for (int i = 0; i < n; i++) {
            innovation += gain[i] * u[i] / predicted;
        }
        // One outlier, for example a task that stalls, must not move the estimate far.
        double limit = 3 * Math.sqrt(innovation);
        double clipped = Math.max(-limit, Math.min(limit, residual));
        for (int i = 0; i < n; i++) {
            filter.mMean[i] += gain[i] / innovation * clipped;
        }
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                filter.mCovariance[i][j] -= gain[i] * gain[j] / innovation;
            }
        }
        for (int i = 0; i < n; i++) {
            double grown = filter.mCovariance[i][i] / FORGETTING;
            filter.mCovariance[i][i] = Math.min(PRIOR_DEVIATION * PRIOR_DEVIATION, grown);
        }
    }

    /** Returns the classes known, for tests. */
    Map<String, Boolean> classes() {
        return Collections.unmodifiableMap(mIsService);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        mFilters.forEach(
                (name, filter) ->
                        text.append(name)
                                .append(Arrays.toString(filter.mMean))
                                .append(System.lineSeparator()));
        return text.toString();
    }
}
