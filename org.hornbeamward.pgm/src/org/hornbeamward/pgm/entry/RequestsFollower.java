package org.hornbeamward.pgm.entry;

import io.vavr.control.Either;
import java.security.SecureRandom;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.route.claim.AtMostOnceExecutor;
import org.hornbeamward.route.claim.ClaimRecord;
import org.hornbeamward.route.claim.ClaimTable;
import org.hornbeamward.storage.log.FollowEvent;
import org.hornbeamward.storage.log.LogClient;
import org.hornbeamward.storage.log.StreamFollower;

/** Follows the requests stream on its own thread and applies its records to the claim table. */
final class RequestsFollower implements Duty {
    static final String REQUESTS_STREAM = "requests";

    private final AtMostOnceExecutor mExecutor;
    private final StreamFollower mFollower;
    private final Runnable mReload;
    private volatile long mNextOffset;
    private volatile boolean mStarted;

    RequestsFollower(
            LogClient log, AtMostOnceExecutor executor, MonotonicClock clock, Runnable reload) {
        mExecutor = executor;
        mReload = reload;
        mFollower =
                new StreamFollower(
                        log,
                        REQUESTS_STREAM,
                        0,
                        this::onEvent,
                        new JitteredBackoff(new SecureRandom(), 250, 8_000),
                        clock,
                        EntryProcess.LOG_READ_INTERVAL_MILLIS);
    }

    /** Replaces the claim table and resumes reading at an offset. */
    void restore(ClaimTable claims, long nextOffset) {
        mExecutor.restore(claims);
        mNextOffset = nextOffset;
        mFollower.resumeFrom(nextOffset);
        mStarted = true;
    }

    long nextOffset() {
        return mNextOffset;
    }

    byte[] encodeTable() {
        return mExecutor.encodeTable();
    }

    StreamFollower follower() {
        return mFollower;
    }

    @Override
    public String name() {
        return "requests-read";
    }

    @Override
    public void runOnce() throws InterruptedException {
        if (!mStarted) {
            Thread.sleep(5);
            return;
        }
        mFollower.runOnce();
    }

    private Either<RingFull, Void> onEvent(FollowEvent event) {
        switch (event) {
            case FollowEvent.RecordRead read -> apply(read);
            case FollowEvent.RetentionPassed passed -> {
                LogEvent.LOG_UNAVAILABLE.log(passed.error().message());
                mReload.run();
            }
            case FollowEvent.ReachedEnd end -> {}
            case FollowEvent.ReadFailed failed -> {}
        }
        return Either.right(null);
    }

    private void apply(FollowEvent.RecordRead read) {
        if (read.offset() < mNextOffset) {
            return;
        }
        ClaimRecord.decode(read.bytes(), REQUESTS_STREAM + "@" + read.offset())
                .peek(mExecutor::apply)
                .peekLeft(error -> LogEvent.RECORD_SKIPPED.log(error.message()));
        mNextOffset = read.offset() + 1;
    }
}
