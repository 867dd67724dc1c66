package org.hornbeamward.dispatch.entry;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.transport.frame.Frames;
import org.jspecify.annotations.Nullable;

/**
 * Keeps one connection to the leader and receives its feed. A connection on which nothing arrives
 * for longer than four heartbeat periods is replaced. Runs on the loop.
 */
public final class FeedClient implements LeaderFeed {
    /** Time without a message after which a connection is closed: four heartbeat periods. */
    private static final long IDLE_TIMEOUT_MILLIS = 4 * Election.HEARTBEAT_MILLIS;

    private static final int CONNECT_TIMEOUT_MILLIS = 800;
    private static final long RECONNECT_DELAY_MILLIS = 200;

    private final Loop mLoop;
    private final EventLoopGroup mGroup;
    private @Nullable Target mTarget;
    private long mGeneration;

    /** The leader to connect to and the receiver of its messages. */
    private record Target(String host, int port, Receiver receiver) {}

    /**
     * Creates a client without a connection.
     *
     * @param loop event loop that provides the clocks and timers
     * @param group event loop group of the loop
     */
    public FeedClient(Loop loop, EventLoopGroup group) {
        mLoop = loop;
        mGroup = group;
    }

    @Override
    public void follow(String address, Receiver receiver) {
        int colon = address.lastIndexOf(':');
        mTarget =
                new Target(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)),
                        receiver);
        mGeneration++;
        connect(mGeneration);
    }

    @Override
    public void unfollow() {
        mTarget = null;
        mGeneration++;
    }

    private void connect(long generation) {
        Target target = mTarget;
        if (target == null || generation != mGeneration) {
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mGroup)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        Frames.addTo(channel.pipeline());
                                        channel.pipeline()
                                                .addLast(new FeedHandler(target, generation));
                                    }
                                })
                        .connect(target.host(), target.port());
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        target.receiver().disconnected();
                        mLoop.schedule(RECONNECT_DELAY_MILLIS, () -> connect(generation));
                    }
                });
    }

    private final class FeedHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Target mSource;
        private final long mOwnGeneration;
        private long mLastMessageMillis;

        FeedHandler(Target source, long generation) {
            mSource = source;
            mOwnGeneration = generation;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mLastMessageMillis = mLoop.nowMillis();
            scheduleIdleCheck(context);
        }

        private void scheduleIdleCheck(ChannelHandlerContext context) {
            mLoop.schedule(
                    IDLE_TIMEOUT_MILLIS / 2,
                    () -> {
                        if (!context.channel().isActive()) {
                            return;
                        }
                        boolean idle = mLoop.nowMillis() - mLastMessageMillis > IDLE_TIMEOUT_MILLIS;
                        if (idle || mOwnGeneration != mGeneration) {
                            context.close();
                        } else {
                            scheduleIdleCheck(context);
                        }
                    });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
            mLastMessageMillis = mLoop.nowMillis();
            if (mOwnGeneration != mGeneration) {
                context.close();
                return;
            }
            try {
                mSource.receiver().received(FeedMessage.decode(ByteBufUtil.getBytes(frame)));
            } catch (Reader.MalformedInputException e) {
                LogEvent.RECORD_SKIPPED.log(e, "message from the leader cannot be read");
                context.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (mOwnGeneration == mGeneration) {
                mSource.receiver().disconnected();
                mLoop.schedule(RECONNECT_DELAY_MILLIS, () -> connect(mOwnGeneration));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
