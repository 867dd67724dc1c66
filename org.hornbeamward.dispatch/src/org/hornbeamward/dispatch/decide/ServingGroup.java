package org.hornbeamward.dispatch.decide;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * The tasks of one serving step. They share the load of their users, which swings over seconds, so
 * two of them that report at the same time differ only by what their neighbours cost them. The
 * group turns reports into such differences and follows the headroom that its tasks would have
 * without fillers.
 */
public final class ServingGroup {
    /** Age up to which a report is compared; workers with fillers report every half second. */
    private static final long FRESH_MILLIS = 800;

    /** Time in which the weight of a report falls to a third; shorter than a swing of the load. */
    private static final double MEMORY_MILLIS = 800.0;

    /** From a tail's measurement to the effect of a new pace: half a report, a look, an order. */
    private static final long FORECAST_MILLIS = 700;

    /**
     * Half of the time that a filler is at work; the deployments' batch tasks take 1.7 to 2.2 s.
     */
    private static final long FILLER_HALF_MILLIS = 1_000;

    /** Weight of the lowest headroom that was seen against the one that is coming. */
    private static final double LOW_SHARE = 0.25;

    /** Weight of the newest report in a task's difference from the group. */
    private static final double OWN_WEIGHT = 0.3;

    /** Share of the first headroom that is expected to be left at the peak of an unseen swing. */
    private static final double UNSEEN_LOW_SHARE = 0.6;

    /** Headroom a second by which the lowest one that was seen is forgotten. */
    private static final double LOW_RECOVERY_PER_SECOND = 0.04;

    private static final double MILLIS_PER_SECOND = 1_000.0;

    /**
     * Standard deviation of the reports' times that a slope needs. With less, the noise of reports
     * outweighs the swing of a load over ten seconds.
     */
    private static final double MIN_SPREAD_MILLIS = 300.0;

    private final Map<Integer, Member> mMembers = new HashMap<>();
    private long mLastMillis = Long.MIN_VALUE;

    // Sums of an exponentially weighted line through the reports; times are relative to the last.
    private double mWeight;
    private double mTimes;
    private double mSquares;
    private double mValues;
    private double mProducts;
    private double mLow = Double.NaN;

    private static final class Member {
        private long mAtMillis;
        private double mHeadroom;
        private Map<String, Double> mFillerCores = Map.of();
        private double mOwnDifference;
    }

    /**
     * What a task has lost against the others at the same time.
     *
     * @param headroom headroom that it has less than the others
     * @param fillerCores cores by filler image that work beside it more than beside the others
     */
    public record Difference(double headroom, Map<String, Double> fillerCores) {}

    /**
     * Compares a report with those of the other tasks and notes it.
     *
     * @param member number of the task
     * @param nowMillis steady time
     * @param headroom target over tail latency
     * @param fillerCores cores in use beside it by filler image
     * @param fillerHeadroom headroom that these cores are known to cost
     * @return the difference, if another task has reported lately
     */
    public Optional<Difference> report(
            int member,
            long nowMillis,
            double headroom,
            Map<String, Double> fillerCores,
            double fillerHeadroom) {
        Difference difference = difference(member, nowMillis, headroom, fillerCores);
        Member own = mMembers.computeIfAbsent(member, key -> new Member());
        own.mAtMillis = nowMillis;
        own.mHeadroom = headroom;
        own.mFillerCores = Map.copyOf(fillerCores);
        double unloaded = headroom + fillerHeadroom;
        follow(nowMillis, unloaded);
        own.mOwnDifference += OWN_WEIGHT * (unloaded - level() - own.mOwnDifference);
        return Optional.ofNullable(difference);
    }

    private @Nullable Difference difference(
            int member, long nowMillis, double headroom, Map<String, Double> fillerCores) {
        int count = 0;
        double others = 0;
        Map<String, Double> cores = new HashMap<>(fillerCores);
        for (Map.Entry<Integer, Member> entry : mMembers.entrySet()) {
            if (isPeer(entry, member, nowMillis)) {
                count++;
                others += entry.getValue().mHeadroom;
            }
        }
        if (count == 0) {
            return null;
        }
        for (Map.Entry<Integer, Member> entry : mMembers.entrySet()) {
            if (isPeer(entry, member, nowMillis)) {
                for (Map.Entry<String, Double> used : entry.getValue().mFillerCores.entrySet()) {
                    cores.merge(used.getKey(), -used.getValue() / count, Double::sum);
                }
            }
        }
        return new Difference(others / count - headroom, cores);
    }

    private static boolean isPeer(Map.Entry<Integer, Member> entry, int member, long nowMillis) {
        return entry.getKey() != member && nowMillis - entry.getValue().mAtMillis <= FRESH_MILLIS;
    }

    private void follow(long nowMillis, double unloaded) {
        double passed = mLastMillis == Long.MIN_VALUE ? 0 : nowMillis - mLastMillis;
        double kept = Math.exp(-passed / MEMORY_MILLIS);
        // Moves the origin of time to now, then adds the report at time 0.
        mSquares = kept * (mSquares - 2 * passed * mTimes + passed * passed * mWeight);
        mProducts = kept * (mProducts - passed * mValues);
        mTimes = kept * (mTimes - passed * mWeight);
        mWeight = kept * mWeight + 1;
        mValues = kept * mValues + unloaded;
        mLastMillis = nowMillis;
        if (Double.isNaN(mLow)) {
            mLow = UNSEEN_LOW_SHARE * unloaded;
        }
        mLow += LOW_RECOVERY_PER_SECOND * passed / MILLIS_PER_SECOND;
        mLow = Math.min(mLow, level());
    }

    /** Returns the mean of the latest reports. */
    private double level() {
        return mValues / mWeight;
    }

    private double slope() {
        double determinant = mWeight * mSquares - mTimes * mTimes;
        if (determinant < mWeight * mWeight * MIN_SPREAD_MILLIS * MIN_SPREAD_MILLIS) {
            return 0;
        }
        return (mWeight * mProducts - mTimes * mValues) / determinant;
    }

    /**
     * Returns whether any task has reported.
     *
     * @return true if headroom is known
     */
    public boolean isKnown() {
        return mWeight > 0;
    }

    /**
     * Returns the headroom without fillers that a task will have when a pace that is set now takes
     * effect; a rise that is still to come is not counted.
     *
     * @param member number of the task
     * @return target over tail latency
     */
    public double unloadedHeadroom(int member) {
        double slope = slope();
        double fitted = level() - slope * mTimes / mWeight;
        Member own = mMembers.get(member);
        double ownDifference = own == null ? 0 : own.mOwnDifference;
        return fitted + Math.min(0, slope) * FORECAST_MILLIS + ownDifference;
    }

    /**
     * Returns the headroom without fillers that a task can be expected to have while a filler that
     * starts now is at work, if its load goes on rising or falling as it does.
     *
     * @param member number of the task
     * @return target over tail latency
     */
    public double expectedHeadroom(int member) {
        double slope = slope();
        double fitted = level() - slope * mTimes / mWeight;
        double coming = Math.max(mLow, fitted + slope * FILLER_HALF_MILLIS);
        Member own = mMembers.get(member);
        return (1 - LOW_SHARE) * coming + LOW_SHARE * mLow + (own == null ? 0 : own.mOwnDifference);
    }
}
