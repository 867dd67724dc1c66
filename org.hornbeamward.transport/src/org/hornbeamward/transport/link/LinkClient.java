package org.hornbeamward.transport.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.PeerUnreachable;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.transport.message.Message;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a link to one address: connects, and connects again with jittered backoff after a failure.
 * Safe for use by any thread.
 */
public final class LinkClient implements AutoCloseable {
    private static final long FIRST_WAIT_MILLIS = 100;
    private static final long LIMIT_WAIT_MILLIS = 4_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

    private final EventLoop mLoop;
    private final String mHost;
    private final int mPort;
    private final LinkHandler mHandler;
    private final LinkCounters mCounters;
    private final JitteredBackoff mBackoff;
    private volatile @Nullable Link mLink;
    private volatile boolean mClosed;
    private @Nullable Channel mChannel;

    /**
     * Starts connecting.
     *
     * @param loops threads of the connection; the caller stops them
     * @param host address of the other side
     * @param port its port
     * @param handler receives the link and its messages
     * @param counters counts the traffic
     * @param random source of the jitter, used by one thread of {@code loops}
     */
    public LinkClient(
            EventLoopGroup loops,
            String host,
            int port,
            LinkHandler handler,
            LinkCounters counters,
            RandomGenerator random) {
        mLoop = loops.next();
        mHost = host;
        mPort = port;
        mHandler = handler;
        mCounters = counters;
        mBackoff = new JitteredBackoff(random, FIRST_WAIT_MILLIS, LIMIT_WAIT_MILLIS);
        mLoop.execute(this::connect);
    }

    /**
     * Sends a message without waiting.
     *
     * @param message the message
     * @return nothing if it was queued; else as {@link Link#send}, with {@code PeerUnreachable}
     *     while there is no connection
     */
    public Either<HornbeamwardError, Void> send(Message message) {
        Link link = mLink;
        if (link == null) {
            mCounters.mDropped.increment();
            return Either.left(new PeerUnreachable(address(), "there is no connection"));
        }
        return link.send(message);
    }

    /**
     * Tells whether there is a connection.
     *
     * @return true while messages can be sent
     */
    public boolean connected() {
        return mLink != null;
    }

    /** Closes the connection, if there is one, and connects again. */
    public void reconnect() {
        Link link = mLink;
        if (link != null) {
            link.close();
        }
    }

    /** Closes the connection and does not connect again. */
    @Override
    public void close() {
        mClosed = true;
        mLoop.execute(
                () -> {
                    if (mChannel != null) {
                        mChannel.close();
                    }
                });
    }

    private String address() {
        return mHost + ":" + mPort;
    }

    private void connect() {
        if (mClosed) {
            return;
        }
        ChannelFuture connecting =
                new Bootstrap()
                        .group(mLoop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .option(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        ChannelLink.MAX_QUEUED_BYTES / 2,
                                        ChannelLink.MAX_QUEUED_BYTES))
                        .handler(new LinkInitializer(new Tracker(), mCounters))
                        .connect(mHost, mPort);
        mChannel = connecting.channel();
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        connectLater();
                    }
                });
    }

    private void connectLater() {
        if (!mClosed && !mLoop.isShuttingDown()) {
            mLoop.schedule(this::connect, mBackoff.nextWaitMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private final class Tracker implements LinkHandler {
        @Override
        public void onOpen(Link link) {
            if (mClosed) {
                link.close();
                return;
            }
            mLink = link;
            mHandler.onOpen(link);
        }

        @Override
        public void onMessage(Link link, Message message) {
            // A process that accepts and closes at once would otherwise be tried in a tight loop.
            mBackoff.reset();
            mHandler.onMessage(link, message);
        }

        @Override
        public void onClosed(Link link) {
            mLink = null;
            mHandler.onClosed(link);
            connectLater();
        }
    }
}
