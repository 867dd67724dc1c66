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
 * Appends commands to one stream in batches with at most one append in flight (group commit). A
 * batch whose append fails may or may not have been stored. It is resent unchanged until an append
 * returns an offset or the reader of the stream confirms its sequence; only then is the next batch
 * sent. The stream may therefore contain duplicates of a batch, and readers ignore repeated
 * sequences. The append of a confirmed batch is not awaited any longer, so a late duplicate may
 * follow the next batch.
 *
 * @param <C> type of the commands
 */
public final class BatchAppender<C> implements Duty {
    /** Maximum number of commands in one batch. */
    public static final int MAX_COMMANDS = CommandBatch.MAX_COMMANDS;

    /** Maximum time in milliseconds for which commands of one batch are collected. */
    public static final int MAX_GROUP_MILLIS = 20;

    /** Responses and new commands wake the thread; this limits the wait if a wake-up is missed. */
    private static final long MAX_PARK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LogClient mLog;
    private final String mStream;
    private final BatchEncoder<C> mEncoder;
    private final BiConsumer<? super C, ? super OversizedInput> mOnOversized;
    private final JitteredBackoff mBackoff;
    private final MonotonicClock mClock;
    private final long mGroupNanos;
    private final Ring<C> mRing;
    private final ArrayDeque<C> mPendingCommands = new ArrayDeque<>();
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
    private @Nullable CompletableFuture<Either<HornbeamwardError, Long>> mPendingAppend;
    private long mRetryAtNanos;

    /**
     * Creates an appender whose first batch has sequence 1.
     *
     * @param log the log service
     * @param stream name of the stream
     * @param capacityCount maximum number of queued commands, rounded up to a power of two
     * @param groupMillis how long commands are collected, 0 to {@link #MAX_GROUP_MILLIS}
     * @param encoder encodes the batches
     * @param onOversized called on the appender's thread with a command that exceeds {@link
     *     LogClient#MAX_RECORD_BYTES} on its own and is dropped
     * @param backoff computes the delay between attempts; used by the appender's thread only
     * @param clock the monotonic clock
     */
    public BatchAppender(
            LogClient log,
            String stream,
            int capacityCount,
            int groupMillis,
            BatchEncoder<C> encoder,
            BiConsumer<? super C, ? super OversizedInput> onOversized,
            JitteredBackoff backoff,
            MonotonicClock clock) {
        if (groupMillis < 0 || groupMillis > MAX_GROUP_MILLIS) {
            throw new IllegalArgumentException("groupMillis must be 0 to " + MAX_GROUP_MILLIS);
        }
        mLog = log;
        mStream = stream;
        mEncoder = encoder;
        mOnOversized = onOversized;
        mBackoff = backoff;
        mClock = clock;
        mGroupNanos = TimeUnit.MILLISECONDS.toNanos(groupMillis);
        mRing = new Ring<>("append-" + stream, capacityCount);
    }

    /**
     * Queues a command. May be called by any thread. Success does not mean that the command is
     * stored; that is known only from reading the stream.
     *
     * @param command the command
     * @return nothing, or an error if the ring is full
     */
    public Either<RingFull, Void> offer(C command) {
        mUnfinishedCount.incrementAndGet();
        return mRing.offer(command).peekLeft(full -> mUnfinishedCount.decrementAndGet());
    }

    /**
     * Notifies the appender that a reader found one of its batches in the stream. May be called by
     * any thread.
     *
     * @param sequence sequence of the batch
     */
    public void confirm(long sequence) {
        mConfirmedSequence.accumulateAndGet(sequence, Math::max);
        wake();
    }

    /**
     * Returns the number of queued commands that are not yet known to be in the stream.
     *
     * @return number of commands, including those of the batch in flight
     */
    public int queueDepth() {
        return mUnfinishedCount.get();
    }

    /**
     * Returns whether the last completed append failed.
     *
     * @return true while the log does not accept records
     */
    public boolean isUnavailable() {
        return mHealth.unavailable();
    }

    /**
     * Returns the number of batches known to be in the stream.
     *
     * @return number of batches without duplicates
     */
    public long batchCount() {
        return mBatchCount.get();
    }

    /**
     * Returns the total size of the batches known to be in the stream.
     *
     * @return bytes without duplicates
     */
    public long byteCount() {
        return mByteCount.get();
    }

    /**
     * Returns the number of appends that resent a batch.
     *
     * @return number of resends
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
            collectCommands();
        } else if (mConfirmedSequence.get() >= mSequence) {
            completeBatch(batch, "unknown; sequence " + mSequence + " was found by the reader");
        } else if (mPendingAppend != null) {
            awaitAppend(batch, mPendingAppend);
        } else {
            resendAfterBackoff(batch);
        }
    }

    private void collectCommands() {
        boolean startsBatch = mPendingCommands.isEmpty();
        if (mPendingCommands.size() < MAX_COMMANDS) {
            mRing.drain(mPendingCommands::add);
        }
        if (mPendingCommands.isEmpty()) {
            mQueuedDuringAppend = false;
            mRing.await(MAX_PARK_NANOS);
            return;
        }
        long nowNanos = mClock.nowNanos();
        if (startsBatch) {
            // Commands queued during the last append have waited already; count from its start.
            mSealAtNanos = (mQueuedDuringAppend ? mLastSendNanos : nowNanos) + mGroupNanos;
        }
        if (mPendingCommands.size() < MAX_COMMANDS && mSealAtNanos - nowNanos > 0) {
            park(mSealAtNanos - nowNanos);
            return;
        }
        sealAndSendBatch();
    }

    private void sealAndSendBatch() {
        int count = Math.min(mPendingCommands.size(), MAX_COMMANDS);
        byte[] batch = mEncoder.encode(mSequence, firstPendingCommands(count));
        while (batch.length > LogClient.MAX_RECORD_BYTES && count > 1) {
            count /= 2;
            batch = mEncoder.encode(mSequence, firstPendingCommands(count));
        }
        if (batch.length > LogClient.MAX_RECORD_BYTES) {
            rejectFirstCommand(batch.length);
            return;
        }
        for (int i = 0; i < count; i++) {
            mPendingCommands.remove();
        }
        mBatch = batch;
        mBatchCommandCount = count;
        send(batch);
    }

    private List<C> firstPendingCommands(int count) {
        List<C> commands = new ArrayList<>(count);
        Iterator<C> pending = mPendingCommands.iterator();
        for (int i = 0; i < count; i++) {
            commands.add(pending.next());
        }
        return commands;
    }

    private void rejectFirstCommand(int sizeBytes) {
        C command = mPendingCommands.remove();
        mUnfinishedCount.decrementAndGet();
        String what = "command for stream " + mStream;
        mOnOversized.accept(
                command, new OversizedInput(what, sizeBytes, LogClient.MAX_RECORD_BYTES));
    }

    private void send(byte[] batch) {
        mLastSendNanos = mClock.nowNanos();
        CompletableFuture<Either<HornbeamwardError, Long>> append = mLog.append(mStream, batch);
        mPendingAppend = append;
        append.whenComplete((result, failure) -> wake());
    }

    private void awaitAppend(
            byte[] batch, CompletableFuture<Either<HornbeamwardError, Long>> append) {
        if (!append.isDone()) {
            park(MAX_PARK_NANOS);
            return;
        }
        mPendingAppend = null;
        Either<HornbeamwardError, Long> result =
                append.exceptionally(failure -> Either.left(new LogUnavailable(failure.toString())))
                        .join();
        if (result.isRight()) {
            completeBatch(batch, result.get());
            return;
        }
        mHealth.recordFailure(result.getLeft());
        mRetryAtNanos =
                mClock.nowNanos() + TimeUnit.MILLISECONDS.toNanos(mBackoff.nextWaitMillis());
    }

    private void resendAfterBackoff(byte[] batch) {
        long waitNanos = mRetryAtNanos - mClock.nowNanos();
        if (waitNanos > 0) {
            park(Math.min(waitNanos, MAX_PARK_NANOS));
            return;
        }
        mResendCount.incrementAndGet();
        send(batch);
    }

    private void completeBatch(byte[] batch, Object offset) {
        mHealth.recordSuccess(offset);
        mBackoff.reset();
        mPendingAppend = null;
        mBatch = null;
        mSequence++;
        mBatchCount.incrementAndGet();
        mByteCount.addAndGet(batch.length);
        mUnfinishedCount.addAndGet(-mBatchCommandCount);
        mQueuedDuringAppend = true;
        if (!mPendingCommands.isEmpty()) {
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
