package org.hornbeamward.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Bytes on their way from one channel to another, kept in order while they are delayed or held. All
 * methods run on the event loop that both channels share.
 */
final class ProxyDirection {
    // A source is not read while this much is held, so a frozen connection pushes back.
    private static final long MAX_HELD_BYTES = 1024 * 1024;

    private record Held(ByteBuf bytes, long dueNanos) {}

    private final Channel mSource;
    private final Channel mDestination;
    private final BooleanSupplier mFrozen;
    private final ArrayDeque<Held> mHeld = new ArrayDeque<>();
    private long mHeldBytes;
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
        // A delay that became shorter must not let bytes overtake earlier ones.
        mLastDueNanos = dueNanos - mLastDueNanos > 0 ? dueNanos : mLastDueNanos;
        mHeldBytes += bytes.readableBytes();
        mHeld.add(new Held(bytes, mLastDueNanos));
        pump();
    }

    void sourceClosed() {
        mSourceClosed = true;
        pump();
    }

    void pump() {
        while (!mFrozen.getAsBoolean() && !mHeld.isEmpty() && mDestination.isWritable()) {
            long waitNanos = mHeld.element().dueNanos() - System.nanoTime();
            if (waitNanos > 0) {
                mDestination.eventLoop().schedule(this::pump, waitNanos, TimeUnit.NANOSECONDS);
                break;
            }
            ByteBuf bytes = mHeld.remove().bytes();
            mHeldBytes -= bytes.readableBytes();
            mDestination.writeAndFlush(bytes);
        }
        if (mSourceClosed && mHeld.isEmpty() && !mFrozen.getAsBoolean()) {
            mDestination
                    .writeAndFlush(Unpooled.EMPTY_BUFFER)
                    .addListener(ChannelFutureListener.CLOSE);
            return;
        }
        mSource.config().setAutoRead(mHeldBytes < MAX_HELD_BYTES);
    }

    void release() {
        mHeld.forEach(held -> held.bytes().release());
        mHeld.clear();
        mHeldBytes = 0;
    }
}
