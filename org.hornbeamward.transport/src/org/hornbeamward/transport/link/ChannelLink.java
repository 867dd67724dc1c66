package org.hornbeamward.transport.link;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.vavr.control.Either;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.errors.PeerUnreachable;
import org.hornbeamward.errors.RingFull;
import org.hornbeamward.transport.frame.Frames;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.MessageCodec;

/** A link on top of one Netty channel. */
final class ChannelLink implements Link {
    /**
     * Limit of the bytes queued for sending; beyond it the peer is too slow and messages are
     * dropped.
     */
    static final int MAX_QUEUED_BYTES = 1024 * 1024;

    static final int LENGTH_PREFIX_BYTES = 4;

    private final Channel mChannel;
    private final String mPeerAddress;
    private final LinkCounters mCounters;

    ChannelLink(Channel channel, LinkCounters counters) {
        mChannel = channel;
        mPeerAddress = String.valueOf(channel.remoteAddress()).replaceFirst("^[^/]*/", "");
        mCounters = counters;
    }

    @Override
    public Either<HornbeamwardError, Void> send(Message message) {
        if (!mChannel.isActive()) {
            return drop(new PeerUnreachable(mPeerAddress, "the connection is closed"));
        }
        if (!mChannel.isWritable()) {
            return drop(new RingFull("link to " + mPeerAddress, MAX_QUEUED_BYTES));
        }
        byte[] bytes = MessageCodec.encode(message);
        if (bytes.length > Frames.MAX_BYTES) {
            String description = message.getClass().getSimpleName() + " to " + mPeerAddress;
            return drop(new OversizedInput(description, bytes.length, Frames.MAX_BYTES));
        }
        mCounters.mMessagesOut.increment();
        mCounters.mBytesOut.add(bytes.length + LENGTH_PREFIX_BYTES);
        mChannel.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        return Either.right(null);
    }

    private Either<HornbeamwardError, Void> drop(HornbeamwardError error) {
        mCounters.mDropped.increment();
        return Either.left(error);
    }

    @Override
    public String peerAddress() {
        return mPeerAddress;
    }

    @Override
    public void close() {
        mChannel.close();
    }
}
