package org.hornbeamward.schedule.policy;

import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hornbeamward.lib.JobId;

/**
 * Learns how classes slow each other down, by recursive least squares with forgetting on the
 * logarithm of the slowdown, linearized at the current estimate (an extended Kalman filter per
 * victim class). The model is {@code value = level * (1 + sum of coefficient * share of the
 * worker)}, with one level per service (its load) or per job (its unit of progress).
 */
final class SlowdownModel implements SlowdownTable {
    /**
     * Number of aggressors distinguished per victim; any further aggressors share the last index.
     */
    private static final int MAX_AGGRESSORS = 32;

    /** Maximum number of jobs whose level is kept. */
    private static final int MAX_JOB_LEVELS = 4096;

    /**
     * Forgetting factor; about the last 5,000 observations of a victim count, so that the model
     * adapts to changes.
     */
    private static final double FORGETTING = 0.9998;

    /**
     * Variance of observations of services. Latency samples are noisier than the progress between
     * checkpoints.
     */
    private static final double SERVICE_VARIANCE = 0.09;

    private static final double BATCH_VARIANCE = 0.02;

    /**
     * Prior coefficients, used before any observation: batch work slows others down, services
     * hardly do.
     */
    private static final double PRIOR_BATCH_ON_SERVICE = 0.8;

    /** Prior ratio of latency to the agreed period of a service without interference. */
    private static final double PRIOR_SERVICE_LEVEL = 0.3;

    private static final double PRIOR_BATCH_ON_BATCH = 0.3;
    private static final double PRIOR_BY_SERVICE = 0.1;
    private static final double PRIOR_DEVIATION = 1.0;

    /** Learning rate of the level of a service; it follows the load within about 20 samples. */
    private static final double SERVICE_LEVEL_RATE = 0.05;

    private static final double JOB_LEVEL_RATE = 0.1;

    /**
     * Standard deviations added to the coefficients of services, to protect them by a pessimistic
     * estimate.
     */
    private static final double SERVICE_PESSIMISM_DEVIATIONS = 0.5;

    private static final class KalmanFilter {
        final boolean mService;
        final double[] mMean = new double[MAX_AGGRESSORS];
        final double[][] mCovariance = new double[MAX_AGGRESSORS][MAX_AGGRESSORS];
        int mSize;

        KalmanFilter(boolean service) {
            mService = service;
        }
    }

    private final Map<String, Integer> mClassIndexes = new HashMap<>();
    private final Map<String, Boolean> mIsService = new HashMap<>();
    private final Map<String, KalmanFilter> mFilters = new HashMap<>();
    private final Map<String, Double> mServiceLevels = new HashMap<>();

    /** Logarithm of the level of each job, unlike {@link #mServiceLevels}. */
    private final Map<JobId, Double> mJobLevels =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<JobId, Double> eldest) {
                    return size() > MAX_JOB_LEVELS;
                }
            };

    SlowdownModel() {}

    /** Registers a class and its kind. */
    void declare(String className, boolean service) {
        mIsService.putIfAbsent(className, service);
        mClassIndexes.computeIfAbsent(
                className, unused -> Math.min(mClassIndexes.size(), MAX_AGGRESSORS - 1));
    }

    /**
     * Returns the ratio of latency to the agreed period that a service would have at its current
     * load without interference.
     */
    double serviceLevel(String className) {
        return mServiceLevels.getOrDefault(className, PRIOR_SERVICE_LEVEL);
    }

    /** Learns from a measured latency ratio. */
    void observeService(String victim, double ratio, Map<String, Double> shares) {
        if (!(ratio > 0)) {
            return;
        }
        declare(victim, true);
        KalmanFilter filter = filter(victim);
        double[] features = features(filter, shares);
        double predicted = Math.log(predict(filter, features));
        double measured = Math.log(ratio);
        Double level = mServiceLevels.get(victim);
        if (level == null) {
            mServiceLevels.put(victim, Math.exp(measured - predicted));
            return;
        }
        double residual = measured - Math.log(level) - predicted;
        mServiceLevels.put(victim, level * Math.exp(SERVICE_LEVEL_RATE * residual));
        update(filter, features, residual, SERVICE_VARIANCE);
    }

    /** Learns from the progress of a batch task. */
    void observeProgress(Progress progress, Map<String, Double> shares) {
        String victim = progress.job().className();
        declare(victim, false);
        KalmanFilter filter = filter(victim);
        double[] features = features(filter, shares);
        double predicted = Math.log(predict(filter, features));
        double measured = -Math.log(progress.perSecond());
        Double level = mJobLevels.get(progress.job().id());
        if (level == null) {
            mJobLevels.put(progress.job().id(), measured - predicted);
            return;
        }
        double residual = measured - level - predicted;
        mJobLevels.put(progress.job().id(), level + JOB_LEVEL_RATE * residual);
        update(filter, features, residual, BATCH_VARIANCE);
    }

    @Override
    public double coefficient(String victim, String aggressor) {
        KalmanFilter filter = mFilters.get(victim);
        Integer index = mClassIndexes.get(aggressor);
        if (filter == null || index == null || index >= filter.mSize) {
            boolean service = mIsService.getOrDefault(victim, false);
            return prior(service, mIsService.getOrDefault(aggressor, false))
                    + (service ? SERVICE_PESSIMISM_DEVIATIONS * PRIOR_DEVIATION : 0);
        }
        double pessimism =
                filter.mService
                        ? SERVICE_PESSIMISM_DEVIATIONS * Math.sqrt(filter.mCovariance[index][index])
                        : 0;
        return Math.max(0, filter.mMean[index] + pessimism);
    }

    private static double prior(boolean victimService, boolean aggressorService) {
        if (aggressorService) {
            return PRIOR_BY_SERVICE;
        }
        return victimService ? PRIOR_BATCH_ON_SERVICE : PRIOR_BATCH_ON_BATCH;
    }

    private KalmanFilter filter(String victim) {
        KalmanFilter filter =
                mFilters.computeIfAbsent(
                        victim, name -> new KalmanFilter(mIsService.getOrDefault(name, false)));
        String[] names = new String[MAX_AGGRESSORS];
        mClassIndexes.forEach((name, index) -> names[index] = name);
        for (int index = filter.mSize;
                index < Math.min(mClassIndexes.size(), MAX_AGGRESSORS);
                index++) {
            boolean service = names[index] != null && mIsService.getOrDefault(names[index], false);
            filter.mMean[index] = prior(filter.mService, service);
            filter.mCovariance[index][index] = PRIOR_DEVIATION * PRIOR_DEVIATION;
            filter.mSize = index + 1;
        }
        return filter;
    }

    private double[] features(KalmanFilter filter, Map<String, Double> shares) {
        double[] features = new double[filter.mSize];
        shares.forEach(
                (name, share) -> {
                    Integer index = mClassIndexes.get(name);
                    if (index != null && index < features.length) {
                        features[index] += share;
                    }
                });
        return features;
    }

    private static double predict(KalmanFilter filter, double[] features) {
        double slowdown = 1;
        for (int i = 0; i < features.length; i++) {
            slowdown += Math.max(0, filter.mMean[i]) * features[i];
        }
        return slowdown;
    }

    private static void update(
            KalmanFilter filter, double[] features, double residual, double variance) {
        double predicted = predict(filter, features);
        int n = features.length;
        double[] gain = new double[n];
        double innovation = variance;
        for (int i = 0; i < n; i++) {
            for (int j = 0; j < n; j++) {
                gain[i] += filter.mCovariance[i][j] * features[j] / predicted;
            }
        }
        for (int i = 0; i < n; i++) {
            innovation += gain[i] * features[i] / predicted;
        }
        // A single outlier, such as a stalled task, must not move the estimate far.
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
            double inflated = filter.mCovariance[i][i] / FORGETTING;
            filter.mCovariance[i][i] = Math.min(PRIOR_DEVIATION * PRIOR_DEVIATION, inflated);
        }
    }

    /** Returns the known classes, for tests. */
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
