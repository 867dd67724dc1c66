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
 * Reads one stream in order by long polls and hands every record to a sink exactly once. The next
 * read is sent only when the sink has taken all events of the last one, so a slow consumer slows
 * the reading and memory stays bounded by one answer.
 */
public final class StreamFollower implements Duty {
    /** Longest time in milliseconds that can be set between the starts of two reads. */
    public static final int MAX_READ_INTERVAL_MILLIS = 100;

    // With the longest interval this is below 500 ms with room for the response, since members must
    // see the end of the log that often.
    private static final int LONG_POLL_MILLIS = 380;
    private static final int READ_BYTES = 512 * 1024;

    /** Answers and new work wake the thread; this only bounds the wait if a wake-up is missed. */
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final long SINK_FULL_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long NO_RESUME = -1;

    private final LogClient mLog;
    private final String mStream;
    private final FollowSink mSink;
    private final JitteredBackoff mBackoff;
    private final MonotonicClock mClock;
    private final long mReadIntervalNanos;
    private final LogHealth mHealth = new LogHealth();
    private final ArrayDeque<FollowEvent> mUndelivered = new ArrayDeque<>();
    private final AtomicLong mResumeOffset = new AtomicLong(NO_RESUME);
    private final AtomicLong mRecordCount = new AtomicLong();
    private final AtomicLong mByteCount = new AtomicLong();
    private final AtomicLong mSinkFullCount = new AtomicLong();
    private volatile @Nullable Thread mThread;

    private long mNextOffset;
    private long mReadStartedNanos;
    private long mNextReadNanos;
    private boolean mWaitingForRead;
    private boolean mBehindRetention;
    private @Nullable CompletableFuture<Either<HornbeamwardError, LogRead>> mAnswer;

    /**
     * Creates a follower.
     *
     * @param log the log service
     * @param stream name of the stream
     * @param fromOffset offset of the first record
     * @param sink takes the events on the follower's thread
     * @param backoff waits between failed reads; used by the follower's thread only
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
     * Creates a follower that reads at most once per interval. Each read costs some 200 bytes
     * besides its records, so an interval saves traffic on a busy stream; a record that arrives on
     * an idle stream is not delayed.
     *
     * @param log the log service
     * @param stream name of the stream
     * @param fromOffset offset of the first record
     * @param sink takes the events on the follower's thread
     * @param backoff waits between failed reads; used by the follower's thread only
     * @param clock the monotonic clock
     * @param readIntervalMillis least time from the start of a read that reached the end to the
     *     start of the next one, 0 to {@link #MAX_READ_INTERVAL_MILLIS}
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
     * thread; events of earlier reads may still be in the sink's ring.
     *
     * @param offset offset of the next record
     */
    public void resumeFrom(long offset) {
        mResumeOffset.set(offset);
        wake();
    }

    /**
     * Tells whether the last read that ended failed.
     *
     * @return true while the log does not give records
     */
    public boolean unavailable() {
        return mHealth.unavailable();
    }

    /**
     * Returns the records read.
     *
     * @return their number
     */
    public long recordCount() {
        return mRecordCount.get();
    }

    /**
     * Returns the size of the records read.
     *
     * @return bytes of the records without HTTP and array headers
     */
    public long byteCount() {
        return mByteCount.get();
    }

    /**
     * Returns how often the sink had no room.
     *
     * @return number of refused offers
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
        takeResume();
        if (!deliver()) {
            LockSupport.parkNanos(this, SINK_FULL_PARK_NANOS);
        } else if (mAnswer != null) {
            awaitAnswer(mAnswer);
        } else if (mBehindRetention) {
            LockSupport.parkNanos(this, MAX_PARK_NANOS);
        } else {
            startRead();
        }
    }

    private void takeResume() {
        long offset = mResumeOffset.getAndSet(NO_RESUME);
        if (offset == NO_RESUME) {
            return;
        }
        mNextOffset = offset;
        mUndelivered.clear();
        mAnswer = null;
        mBehindRetention = false;
        mWaitingForRead = false;
    }

    private boolean deliver() {
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
        if (mWaitingForRead && mNextReadNanos - nowNanos > 0) {
            LockSupport.parkNanos(this, Math.min(mNextReadNanos - nowNanos, MAX_PARK_NANOS));
            return;
        }
        mWaitingForRead = false;
        mReadStartedNanos = nowNanos;
        CompletableFuture<Either<HornbeamwardError, LogRead>> answer =
                mLog.read(mStream, mNextOffset, LONG_POLL_MILLIS, READ_BYTES);
        mAnswer = answer;
        answer.whenComplete((result, failure) -> wake());
    }

    private void awaitAnswer(CompletableFuture<Either<HornbeamwardError, LogRead>> answer) {
        if (!answer.isDone()) {
            LockSupport.parkNanos(this, MAX_PARK_NANOS);
            return;
        }
        mAnswer = null;
        answer.exceptionally(failure -> Either.left(new LogUnavailable(failure.toString())))
                .join()
                .peek(this::take)
                .peekLeft(this::fail);
    }

    private void take(LogRead read) {
        mBackoff.reset();
        mHealth.answered(mNextOffset);
        for (LogRecord record : read.records()) {
            mRecordCount.incrementAndGet();
            mByteCount.addAndGet(record.bytes().length);
            mUndelivered.add(new FollowEvent.RecordRead(record.offset(), record.bytes()));
        }
        mNextOffset = read.nextOffset(mNextOffset);
        if (mNextOffset >= read.endOffset()) {
            mUndelivered.add(new FollowEvent.ReachedEnd(mReadStartedNanos, read.endOffset()));
            mWaitingForRead = mReadIntervalNanos > 0;
            mNextReadNanos = mReadStartedNanos + mReadIntervalNanos;
        }
    }

    private void fail(HornbeamwardError error) {
        if (error instanceof LogRetentionPassed passed) {
            mBehindRetention = true;
            mUndelivered.add(new FollowEvent.RetentionPassed(passed));
            return;
        }
        mHealth.failed(error);
        mWaitingForRead = true;
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
