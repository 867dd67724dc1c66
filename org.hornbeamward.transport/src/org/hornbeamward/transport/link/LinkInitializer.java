package org.hornbeamward.transport.link;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedRecord;
import org.hornbeamward.transport.frame.Frames;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.MessageCodec;
import org.jspecify.annotations.Nullable;

/** Sets up the pipeline of a connection: framing, decoding and traffic counters. */
final class LinkInitializer extends ChannelInitializer<Channel> {
    private final LinkHandler mHandler;
    private final LinkCounters mCounters;

    LinkInitializer(LinkHandler handler, LinkCounters counters) {
        mHandler = handler;
        mCounters = counters;
    }

    @Override
    protected void initChannel(Channel channel) {
        Frames.addTo(channel.pipeline());
        channel.pipeline().addLast(new MessageDecoder());
    }

    private final class MessageDecoder extends SimpleChannelInboundHandler<ByteBuf> {
        private @Nullable ChannelLink mLink;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ChannelLink link = new ChannelLink(context.channel(), mCounters);
            mLink = link;
            mHandler.onOpen(link);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            ChannelLink link = mLink;
            if (link == null) {
                return;
            }
            mCounters.mMessagesIn.increment();
            mCounters.mBytesIn.add(frame.readableBytes() + ChannelLink.LENGTH_PREFIX_BYTES);
            Either<MalformedRecord, Message> message =
                    MessageCodec.decode(ByteBufUtil.getBytes(frame), link.peerAddress());
            if (message.isLeft()) {
                // The bytes that follow a malformed message cannot be trusted either.
                mCounters.mMalformed.increment();
                context.close();
                return;
            }
            mHandler.onMessage(link, message.get());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ChannelLink link = mLink;
            mLink = null;
            if (link != null) {
                mHandler.onClosed(link);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (cause instanceof TooLongFrameException) {
                mCounters.mMalformed.increment();
            }
            context.close();
        }
    }
}
