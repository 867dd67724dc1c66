package org.hornbeamward.bench.limits;

import java.util.Random;
import org.HdrHistogram.Histogram;
import org.hornbeamward.route.claim.RequestOutcome;

/**
 * Open-loop load generator with Poisson arrivals. Latency is measured from the scheduled arrival,
 * so a slow answer delays no later arrival and the histogram needs no further correction for
 * coordinated omission. A request without a successful answer in time is recorded with the full
 * timeout, so that refusals do not improve the tail latency.
 */
final class LoadGenerator {
    private static final int SERVER_ERROR = 500;

    /**
     * Bounds the search for a ready member; if none is ready, a request goes to one that refuses
     * it.
     */
    private static final int MAX_TRIES = 100;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long TIMEOUT_NANOS = VirtualCluster.TIMEOUT_MILLIS * 1_000_000;

    private final VirtualCluster mCluster;
    private final Random mRandom;
    private final double mPerSecond;
    private final double mFirstMemberShare;
    private final long mFromNanos;
    private final long mUntilNanos;
    final Histogram mMicros = new Histogram(TIMEOUT_NANOS * 2 / NANOS_PER_MICRO, 3);
    long mRequestCount;
    long mGoodCount;

    /**
     * Creates the generator and schedules the first arrival.
     *
     * @param perSecond total requests per second
     * @param firstMemberShare share of the requests sent to the first member; the rest is spread
     *     evenly
     * @param fromNanos start of the measurement; earlier arrivals are not recorded
     * @param untilNanos end of the arrivals
     */
    LoadGenerator(
            VirtualCluster cluster,
            long seed,
            double perSecond,
            double firstMemberShare,
            long fromNanos,
            long untilNanos) {
        mCluster = cluster;
        mRandom = new Random(seed);
        mPerSecond = perSecond;
        mFirstMemberShare = firstMemberShare;
        mFromNanos = fromNanos;
        mUntilNanos = untilNanos;
        scheduleNextArrival();
    }

    private void scheduleNextArrival() {
        double gap = -Math.log(1 - mRandom.nextDouble()) / mPerSecond;
        mCluster.time()
                .after(
                        (long) (gap * NANOS_PER_SECOND),
                        () -> {
                            if (mCluster.time().nowNanos() < mUntilNanos) {
                                onArrival();
                                scheduleNextArrival();
                            }
                        });
    }

    private void onArrival() {
        long atNanos = mCluster.time().nowNanos();
        VirtualMember member = selectMember();
        member.request(atNanos + TIMEOUT_NANOS)
                .thenAccept(
                        outcome -> {
                            if (atNanos >= mFromNanos) {
                                record(member, outcome, mCluster.time().nowNanos() - atNanos);
                            }
                        });
    }

    private VirtualMember selectMember() {
        if (mRandom.nextDouble() < mFirstMemberShare) {
            return mCluster.mMembers.get(0);
        }
        int count = mCluster.mMembers.size();
        VirtualMember member = mCluster.mMembers.get(mRandom.nextInt(count));
        for (int tries = 0; tries < MAX_TRIES && !member.mReceivesRequests; tries++) {
            member = mCluster.mMembers.get(mRandom.nextInt(count));
        }
        return member;
    }

    private void record(VirtualMember member, RequestOutcome outcome, long nanos) {
        mRequestCount++;
        boolean good =
                !member.mDead
                        && outcome instanceof RequestOutcome.Answered answered
                        && answered.reply().status() < SERVER_ERROR;
        mGoodCount += good ? 1 : 0;
        mMicros.recordValue((good ? nanos : TIMEOUT_NANOS) / NANOS_PER_MICRO);
    }
}
