package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.kernel.Ring;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.jspecify.annotations.Nullable;

/**
 * Appends commands to one stream in batches with one append outstanding (group commit). A batch
 * whose append got no clear answer is sent again unchanged until an append is answered with an
 * offset or the reader of the stream confirms its sequence; only then the next batch is sent. The
 * stream may therefore hold a batch several times, and readers ignore repeated sequences. A
 * confirmed batch is not awaited further, so a late repetition of it may follow the next batch.
 *
 * @param <C> type of the commands
 */
public final class BatchAppender<C> implements Duty {
    /** Most commands in one batch. */
    public static final int MAX_COMMANDS = CommandBatch.MAX_COMMANDS;

    /** Longest time in milliseconds for which commands are collected. */
    public static final int MAX_GROUP_MILLIS = 20;

    /** Answers and new work wake the thread; this only bounds the wait if a wake-up is missed. */
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LogClient mLog;
    private final String mStream;
    private final BatchEncoder<C> mEncoder;
    private final BiConsumer<? super C, ? super OversizedInput> mRefused;
    private final JitteredBackoff mBackoff;
    private final MonotonicClock mClock;
    private final long mGroupNanos;
    private final Ring<C> mRing;
    private final ArrayDeque<C> mPending = new ArrayDeque<>();
    private final LogHealth mHealth = new LogHealth();

    private final AtomicInteger mUnfinishedCount = new AtomicInteger();
    private final AtomicLong mConfirmedSequence = new AtomicLong();
    private final AtomicLong mBatchCount = new AtomicLong();
    private final AtomicLong mByteCount = new AtomicLong();
    private final AtomicLong mResendCount = new AtomicLong();
    private volatile @Nullable Thread mThread;

    private long mSequence = 1;
    private long mSealAtNanos;
    private long mLastSendNanos;
    private boolean mQueuedDuringAppend;
    private byte @Nullable [] mBatch;
    private int mBatchCommandCount;
    private @Nullable CompletableFuture<Either<HornbeamwardError, Long>> mAnswer;
    private long mRetryAtNanos;

    /**
     * Creates an appender whose first batch has sequence 1.
     *
     * @param log the log service
     * @param stream name of the stream
     * @param capacityCount commands that may wait, rounded up to a power of two
     * @param groupMillis how long commands are collected, 0 to {@link #MAX_GROUP_MILLIS}
     * @param encoder encodes the batches
     * @param refused called by the appender's thread with a command that alone exceeds the size of
     *     a batch and is dropped
     * @param backoff waits between attempts; used by the appender's thread only
     * @param clock the monotonic clock
     */
    public BatchAppender(
            LogClient log,
            String stream,
            int capacityCount,
            int groupMillis,
            BatchEncoder<C> encoder,
            BiConsumer<? super C, ? super OversizedInput> refused,
            JitteredBackoff backoff,
            MonotonicClock clock) {
        if (groupMillis < 0 || groupMillis > MAX_GROUP_MILLIS) {
            throw new IllegalArgumentException("groupMillis must be 0 to " + MAX_GROUP_MILLIS);
        }
        mLog = log;
        mStream = stream;
        mEncoder = encoder;
        mRefused = refused;
        mBackoff = backoff;
        mClock = clock;
        mGroupNanos = TimeUnit.MILLISECONDS.toNanos(groupMillis);
        mRing = new Ring<>("append-" + stream, capacityCount);
    }

    /**
     * Queues a command. May be called by any thread. Whether the command took effect is known only
     * from reading the stream.
     *
     * @param command the command
     * @return nothing, or an error if the ring is full
     */
    public Either<RingFull, Void> offer(C command) {
        mUnfinishedCount.incrementAndGet();
        return mRing.offer(command).peekLeft(full -> mUnfinishedCount.decrementAndGet());
    }

    /**
     * States that a reader found a batch of this appender in the stream. May be called by any
     * thread.
     *
     * @param sequence sequence of that batch
     */
    public void confirmed(long sequence) {
        mConfirmedSequence.accumulateAndGet(sequence, Math::max);
        wake();
    }

    /**
     * Returns how many commands were offered and are not yet known to be in the stream.
     *
     * @return their number, with those of the batch being sent
     */
    public int queueDepth() {
        return mUnfinishedCount.get();
    }

    /**
     * Tells whether the last append that ended got no clear answer.
     *
     * @return true while the log does not take records
     */
    public boolean unavailable() {
        return mHealth.unavailable();
    }

    /**
     * Returns how many batches are known to be in the stream.
     *
     * @return their number, each counted once
     */
    public long batchCount() {
        return mBatchCount.get();
    }

    /**
     * Returns the size of the batches known to be in the stream.
     *
     * @return bytes, each batch counted once
     */
    public long byteCount() {
        return mByteCount.get();
    }

    /**
     * Returns how many appends were repetitions.
     *
     * @return their number
     */
    public long resendCount() {
        return mResendCount.get();
    }

    @Override
    public String name() {
        return "append-" + mStream;
    }

    @Override
    public void runOnce() throws InterruptedException {
        if (Thread.interrupted()) {
            throw new InterruptedException();
        }
        mThread = Thread.currentThread();
        byte[] batch = mBatch;
        if (batch == null) {
            collect();
        } else if (mConfirmedSequence.get() >= mSequence) {
            finish(batch, "unknown, sequence " + mSequence + " was read back");
        } else if (mAnswer != null) {
            awaitAnswer(batch, mAnswer);
        } else {
            retry(batch);
        }
    }

    private void collect() {
        boolean first = mPending.isEmpty();
        if (mPending.size() < MAX_COMMANDS) {
            mRing.drain(mPending::add);
        }
        if (mPending.isEmpty()) {
            mQueuedDuringAppend = false;
            mRing.await(MAX_PARK_NANOS);
            return;
        }
        long nowNanos = mClock.nowNanos();
        if (first) {
            // Commands that were queued during the last append have already waited since then.
            mSealAtNanos = (mQueuedDuringAppend ? mLastSendNanos : nowNanos) + mGroupNanos;
        }
        if (mPending.size() < MAX_COMMANDS && mSealAtNanos - nowNanos > 0) {
            park(mSealAtNanos - nowNanos);
            return;
        }
        seal();
    }

    private void seal() {
        int count = Math.min(mPending.size(), MAX_COMMANDS);
        byte[] batch = mEncoder.encode(mSequence, firstPending(count));
        while (batch.length > LogClient.MAX_RECORD_BYTES && count > 1) {
            count /= 2;
            batch = mEncoder.encode(mSequence, firstPending(count));
        }
        if (batch.length > LogClient.MAX_RECORD_BYTES) {
            refuseFirst(batch.length);
            return;
        }
        for (int i = 0; i < count; i++) {
            mPending.remove();
        }
        mBatch = batch;
        mBatchCommandCount = count;
        send(batch);
    }

    private List<C> firstPending(int count) {
        List<C> commands = new ArrayList<>(count);
        Iterator<C> pending = mPending.iterator();
        for (int i = 0; i < count; i++) {
            commands.add(pending.next());
        }
        return commands;
    }

    private void refuseFirst(int sizeBytes) {
        C command = mPending.remove();
        mUnfinishedCount.decrementAndGet();
        String what = "command for stream " + mStream;
        mRefused.accept(command, new OversizedInput(what, sizeBytes, LogClient.MAX_RECORD_BYTES));
    }

    private void send(byte[] batch) {
        mLastSendNanos = mClock.nowNanos();
        CompletableFuture<Either<HornbeamwardError, Long>> answer = mLog.append(mStream, batch);
        mAnswer = answer;
        answer.whenComplete((result, failure) -> wake());
    }

    private void awaitAnswer(
            byte[] batch, CompletableFuture<Either<HornbeamwardError, Long>> answer) {
        if (!answer.isDone()) {
            park(MAX_PARK_NANOS);
            return;
        }
        mAnswer = null;
        Either<HornbeamwardError, Long> result =
                answer.exceptionally(failure -> Either.left(new LogUnavailable(failure.toString())))
                        .join();
        if (result.isRight()) {
            finish(batch, result.get());
            return;
        }
        mHealth.failed(result.getLeft());
        mRetryAtNanos =
                mClock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(mBackoff.nextWaitMillis());
    }

    private void retry(byte[] batch) {
        long waitNanos = mRetryAtNanos - mClock.nowNanos();
        if (waitNanos > 0) {
            park(Math.min(waitNanos, MAX_PARK_NANOS));
            return;
        }
        mResendCount.incrementAndGet();
        send(batch);
    }

    private void finish(byte[] batch, Object offset) {
        mHealth.answered(offset);
        mBackoff.reset();
        mAnswer = null;
        mBatch = null;
        mSequence++;
        mBatchCount.incrementAndGet();
        mByteCount.addAndGet(batch.length);
        mUnfinishedCount.addAndGet(-mBatchCommandCount);
        mQueuedDuringAppend = true;
        if (!mPending.isEmpty()) {
            mSealAtNanos = mLastSendNanos + mGroupNanos;
        }
    }

    private void wake() {
        Thread thread = mThread;
        if (thread != null) {
            LockSupport.unpark(thread);
        }
    }

    private void park(long waitNanos) {
        LockSupport.parkNanos(this, waitNanos);
    }
}
