package org.hornbeamward.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Forwards bytes from one channel to another, in order also while they are delayed or forwarding is
 * suspended. All methods run on the event loop that both channels share.
 */
final class ProxyDirection {
    // The source is not read while this many bytes are buffered, so a frozen connection applies
    // back pressure.
    private static final long MAX_BUFFERED_BYTES = 1024 * 1024;

    private record BufferedBytes(ByteBuf bytes, long dueNanos) {}

    private final Channel mSource;
    private final Channel mDestination;
    private final BooleanSupplier mFrozen;
    private final ArrayDeque<BufferedBytes> mBuffered = new ArrayDeque<>();
    private long mBufferedByteCount;
    private long mLastDueNanos;
    private boolean mSourceClosed;

    ProxyDirection(Channel source, Channel destination, BooleanSupplier frozen) {
        mSource = source;
        mDestination = destination;
        mFrozen = frozen;
        mLastDueNanos = System.nanoTime();
    }

    void add(ByteBuf bytes, long delayMillis) {
        if (!mDestination.isActive()) {
            bytes.release();
            return;
        }
        long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
        // Bytes must not overtake earlier ones after the delay has been shortened.
        mLastDueNanos = dueNanos - mLastDueNanos > 0 ? dueNanos : mLastDueNanos;
        mBufferedByteCount += bytes.readableBytes();
        mBuffered.add(new BufferedBytes(bytes, mLastDueNanos));
        forwardDueBytes();
    }

    void sourceClosed() {
        mSourceClosed = true;
        forwardDueBytes();
    }

    void forwardDueBytes() {
        while (!mFrozen.getAsBoolean() && !mBuffered.isEmpty() && mDestination.isWritable()) {
            long waitNanos = mBuffered.element().dueNanos() - System.nanoTime();
            if (waitNanos > 0) {
                mDestination
                        .eventLoop()
                        .schedule(this::forwardDueBytes, waitNanos, TimeUnit.NANOSECONDS);
                break;
            }
            ByteBuf bytes = mBuffered.remove().bytes();
            mBufferedByteCount -= bytes.readableBytes();
            mDestination.writeAndFlush(bytes);
        }
        if (mSourceClosed && mBuffered.isEmpty() && !mFrozen.getAsBoolean()) {
            mDestination
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mSource.config().setAutoRead(mBufferedByteCount < MAX_BUFFERED_BYTES);
    }

    void release() {
        mBuffered.forEach(buffered -> buffered.bytes().release());
        mBuffered.clear();
        mBufferedByteCount = 0;
    }
}
