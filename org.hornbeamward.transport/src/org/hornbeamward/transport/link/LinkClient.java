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
 * Maintains a link to one address: connects, and reconnects with jittered exponential backoff after
 * a failure. Thread-safe.
 */
public final class LinkClient implements AutoCloseable {
    private static final long INITIAL_BACKOFF_MILLIS = 100;
    private static final long MAX_BACKOFF_MILLIS = 4_000;
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
     * @param loops event loops of the connection; the caller shuts them down
     * @param host host of the peer
     * @param port port of the peer
     * @param handler receives the link and its messages
     * @param counters counts the messages and bytes of the link
     * @param random source of the jitter, used by a single thread of {@code loops}
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
        mBackoff = new JitteredBackoff(random, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);
        mLoop.execute(this::connect);
    }

    /**
     * Queues a message for sending, without blocking.
     *
     * @param message the message
     * @return nothing if the message was queued; otherwise an error as from {@link Link#send},
     *     which is {@code PeerUnreachable} while there is no connection
     */
    public Either<HornbeamwardError, Void> send(Message message) {
        Link link = mLink;
        if (link == null) {
            mCounters.mDropped.increment();
            return Either.left(new PeerUnreachable(address(), "not connected"));
        }
        return link.send(message);
    }

    /**
     * Returns whether there is a connection.
     *
     * @return true while messages can be sent
     */
    public boolean connected() {
        return mLink != null;
    }

    /** Closes the current connection, if there is one, which makes the client reconnect. */
    public void reconnect() {
        Link link = mLink;
        if (link != null) {
            link.close();
        }
    }

    /** Closes the connection and does not reconnect. */
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
        ChannelFuture connectFuture =
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
                        .handler(new LinkInitializer(new ReconnectHandler(), mCounters))
                        .connect(mHost, mPort);
        mChannel = connectFuture.channel();
        connectFuture.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        scheduleConnect();
                    }
                });
    }

    private void scheduleConnect() {
        if (!mClosed && !mLoop.isShuttingDown()) {
            mLoop.schedule(this::connect, mBackoff.nextWaitMillis(), TimeUnit.MILLISECONDS);
        }
    }

    private final class ReconnectHandler implements LinkHandler {
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
            // Reset here and not in onOpen: a peer that accepts connections and closes them at once
            // would otherwise be retried in a tight loop.
            mBackoff.reset();
            mHandler.onMessage(link, message);
        }

        @Override
        public void onClosed(Link link) {
            mLink = null;
            mHandler.onClosed(link);
            scheduleConnect();
        }
    }
}
