package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogRetentionPassed;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Reads one stream in order by long polling and delivers every record to a sink exactly once. The
 * next read is sent only after the sink has accepted all events of the last one, so a slow consumer
 * applies back pressure and memory use is bounded by one read.
 */
public final class StreamFollower implements Duty {
    /** Maximum of the configurable interval in milliseconds between the starts of two reads. */
    public static final int MAX_READ_INTERVAL_MILLIS = 100;

    // Members must reach the end of the log at least every 500 ms. The sum of this wait and the
    // maximum read interval is below that limit, which leaves time for the response.
    private static final int LONG_POLL_MILLIS = 380;
    private static final int READ_BYTES = 512 * 1024;

    /**
     * Responses and resume requests wake the thread; this limits the wait if a wake-up is missed.
     */
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final long SINK_FULL_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NO_RESUME_OFFSET = -1;

    private final LogClient mLog;
    private final String mStream;
    private final FollowSink mSink;
    private final JitteredBackoff mBackoff;
    private final MonotonicClock mClock;
    private final long mReadIntervalNanos;
    private final LogHealth mHealth = new LogHealth();
    private final ArrayDeque<FollowEvent> mUndelivered = new ArrayDeque<>();
    private final AtomicLong mResumeOffset = new AtomicLong(NO_RESUME_OFFSET);
    private final AtomicLong mRecordCount = new AtomicLong();
    private final AtomicLong mByteCount = new AtomicLong();
    private final AtomicLong mSinkFullCount = new AtomicLong();
    private volatile @Nullable Thread mThread;

    private long mNextOffset;
    private long mReadStartedNanos;
    private long mNextReadNanos;
    private boolean mNextReadDelayed;
    private boolean mBehindRetention;
    private @Nullable CompletableFuture<Either<HornbeamwardError, LogRead>> mPendingRead;

    /**
     * Creates a follower.
     *
     * @param log the log service
     * @param stream name of the stream
     * @param fromOffset offset of the first record
     * @param sink receives the events on the follower's thread
     * @param backoff computes the delay after a failed read; used by the follower's thread only
     * @param clock the monotonic clock
     */
    public StreamFollower(
            LogClient log,
            String stream,
            long fromOffset,
            FollowSink sink,
            JitteredBackoff backoff,
            MonotonicClock clock) {
        this(log, stream, fromOffset, sink, backoff, clock, 0);
    }

    /**
     * Creates a follower that reads at most once per interval. Each read costs about 200 bytes in
     * addition to its records, so an interval saves traffic on a busy stream. A record that arrives
     * on an idle stream is not delayed.
     *
     * @param log the log service
     * @param stream name of the stream
     * @param fromOffset offset of the first record
     * @param sink receives the events on the follower's thread
     * @param backoff computes the delay after a failed read; used by the follower's thread only
     * @param clock the monotonic clock
     * @param readIntervalMillis minimum time from the start of a read that reached the end to the
     *     start of the next read, 0 to {@link #MAX_READ_INTERVAL_MILLIS}
     */
    public StreamFollower(
            LogClient log,
            String stream,
            long fromOffset,
            FollowSink sink,
            JitteredBackoff backoff,
            MonotonicClock clock,
            int readIntervalMillis) {
        if (readIntervalMillis < 0 || readIntervalMillis > MAX_READ_INTERVAL_MILLIS) {
            throw new IllegalArgumentException(
                    "readIntervalMillis must be 0 to " + MAX_READ_INTERVAL_MILLIS);
        }
        mReadIntervalNanos = TimeUnit.MILLISECONDS.toNanos(readIntervalMillis);
        mLog = log;
        mStream = stream;
        mNextOffset = fromOffset;
        mSink = sink;
        mBackoff = backoff;
        mClock = clock;
    }

    /**
     * Continues at another offset, for example after loading a snapshot. May be called by any
     * thread; events of earlier reads may still be queued in the sink.
     *
     * @param offset offset of the next record
     */
    public void resumeFrom(long offset) {
        mResumeOffset.set(offset);
        wake();
    }

    /**
     * Returns whether the last completed read failed.
     *
     * @return true while the log cannot be read
     */
    public boolean isUnavailable() {
        return mHealth.unavailable();
    }

    /**
     * Returns the number of records read.
     *
     * @return number of records
     */
    public long recordCount() {
        return mRecordCount.get();
    }

    /**
     * Returns the total size of the records read.
     *
     * @return bytes, not counting HTTP and array headers
     */
    public long byteCount() {
        return mByteCount.get();
    }

    /**
     * Returns how often the sink was full.
     *
     * @return number of rejected offers
     */
    public long sinkFullCount() {
        return mSinkFullCount.get();
    }

    @Override
    public String name() {
        return "follow-" + mStream;
    }

    @Override
    public void runOnce() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException();
        }
        mThread = Thread.currentThread();
        applyResumeOffset();
        if (!deliverEvents()) {
            LockSupport.parkNanos(this, SINK_FULL_PARK_NANOS);
        } else if (mPendingRead != null) {
            awaitRead(mPendingRead);
        } else if (mBehindRetention) {
            LockSupport.parkNanos(this, MAX_PARK_NANOS);
        } else {
            startRead();
        }
    }

    private void applyResumeOffset() {
        long offset = mResumeOffset.getAndSet(NO_RESUME_OFFSET);
        if (offset == NO_RESUME_OFFSET) {
            return;
        }
        mNextOffset = offset;
        mUndelivered.clear();
        mPendingRead = null;
        mBehindRetention = false;
        mNextReadDelayed = false;
    }

    private boolean deliverEvents() {
        for (FollowEvent event = mUndelivered.peek(); event != null; event = mUndelivered.peek()) {
            if (mSink.offer(event).isLeft()) {
                mSinkFullCount.incrementAndGet();
                return false;
            }
            mUndelivered.remove();
        }
        return true;
    }

    private void startRead() {
        long nowNanos = mClock.nowNanos();
        if (mNextReadDelayed && mNextReadNanos - nowNanos > 0) {
            LockSupport.parkNanos(this, Math.min(mNextReadNanos - nowNanos, MAX_PARK_NANOS));
            return;
        }
        mNextReadDelayed = false;
        mReadStartedNanos = nowNanos;
        CompletableFuture<Either<HornbeamwardError, LogRead>> read =
                mLog.read(mStream, mNextOffset, LONG_POLL_MILLIS, READ_BYTES);
        mPendingRead = read;
        read.whenComplete((result, failure) -> wake());
    }

    private void awaitRead(CompletableFuture<Either<HornbeamwardError, LogRead>> read) {
        if (!read.isDone()) {
            LockSupport.parkNanos(this, MAX_PARK_NANOS);
            return;
        }
        mPendingRead = null;
        read.exceptionally(failure -> Either.left(new LogUnavailable(failure.toString())))
                .join()
                .peek(this::handleResult)
                .peekLeft(this::handleFailure);
    }

    private void handleResult(LogRead read) {
        mBackoff.reset();
        mHealth.recordSuccess(mNextOffset);
        for (LogRecord record : read.records()) {
            mRecordCount.incrementAndGet();
            mByteCount.addAndGet(record.bytes().length);
            mUndelivered.add(new FollowEvent.RecordRead(record.offset(), record.bytes()));
        }
        mNextOffset = read.nextOffset(mNextOffset);
        if (mNextOffset >= read.endOffset()) {
            mUndelivered.add(new FollowEvent.ReachedEnd(mReadStartedNanos, read.endOffset()));
            mNextReadDelayed = mReadIntervalNanos > 0;
            mNextReadNanos = mReadStartedNanos + mReadIntervalNanos;
        }
    }

    private void handleFailure(HornbeamwardError error) {
        if (error instanceof LogRetentionPassed passed) {
            mBehindRetention = true;
            mUndelivered.add(new FollowEvent.RetentionPassed(passed));
            return;
        }
        mHealth.recordFailure(error);
        mNextReadDelayed = true;
        mNextReadNanos =
                mClock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(mBackoff.nextWaitMillis());
        mUndelivered.add(new FollowEvent.ReadFailed(error));
    }

    private void wake() {
        Thread thread = mThread;
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }
}
