package org.hornbeamward.standin.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.hornbeamward.standin.events.EventRecorder;
import org.hornbeamward.standin.events.FaultJson;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;

/**
 * Forwards TCP connections to one target and injects faults. The control port serves
 *
 * <ul>
 *   <li>{@code POST /faults} with the fields of {@link ProxyFaults}, {@code GET /faults};
 *   <li>{@code GET /events}, see {@link EventRecorder#handle}. Kinds: {@code faults}, {@code
 *       opened}, {@code refused}, {@code unreachable}, {@code cut} (connections) and {@code
 *       answer-cut}; {@code answer-dropped} and {@code closed} are only counted.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class ProxyStandIn implements AutoCloseable {
    private static final int MAX_CONTROL_BYTES = 64 * 1024;

    private final EventRecorder mEvents = new EventRecorder();
    private final EventLoopGroup mEventLoops = new NioEventLoopGroup(1);
    private final Set<ProxyConnection> mConnections = ConcurrentHashMap.newKeySet();
    private final LongAdder mReceivedBytes = new LongAdder();
    private final InetSocketAddress mTarget;
    private final Channel mListener;
    private final HttpServer mControl;
    private volatile ProxyFaults mFaults = ProxyFaults.NONE;
    private SplittableRandom mRandom = new SplittableRandom(ProxyFaults.NONE.seed());

    /**
     * Starts the proxy on the loopback address.
     *
     * @param port port to bind, 0 for any free one
     * @param controlPort port of the control interface, 0 for any free one
     * @param target address that connections are forwarded to
     * @throws InterruptedException if interrupted while binding
     */
    public ProxyStandIn(int port, int controlPort, InetSocketAddress target)
            throws InterruptedException {
        mTarget = target;
        mControl = new HttpServer("127.0.0.1", controlPort, 1, MAX_CONTROL_BYTES, this::handle);
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mEventLoops)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel client) {
                                        accept(client);
                                    }
                                });
        mListener = bootstrap.bind("127.0.0.1", port).sync().channel();
    }

    /**
     * Returns the port that forwards to the target.
     *
     * @return the port number
     */
    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /**
     * Returns the port of the control interface.
     *
     * @return the port number
     */
    public int controlPort() {
        return mControl.port();
    }

    /**
     * Returns the recorder of the events of this proxy.
     *
     * @return the recorder, which further events are added to
     */
    public EventRecorder events() {
        return mEvents;
    }

    /**
     * Returns the active faults.
     *
     * @return the faults
     */
    public ProxyFaults faults() {
        return mFaults;
    }

    /**
     * Replaces the active faults.
     *
     * @param faults the new faults
     */
    public synchronized void setFaults(ProxyFaults faults) {
        mEvents.record("faults", Map.of("faults", faults));
        mRandom = new SplittableRandom(faults.seed());
        mFaults = faults.withCut(false);
        mConnections.forEach(ProxyConnection::forwardDueBytes);
        if (faults.cut()) {
            mEvents.record("cut", Map.of("connections", mConnections.size()));
            mConnections.forEach(ProxyConnection::cut);
        }
    }

    /**
     * Returns the number of bytes received from clients and from the target.
     *
     * @return sum of the TCP payload bytes of both directions
     */
    public long receivedBytes() {
        return mReceivedBytes.sum();
    }

    void addReceivedBytes(int bytes) {
        mReceivedBytes.add(bytes);
    }

    synchronized boolean drawResponseCut() {
        ProxyFaults faults = mFaults;
        boolean cut = faults.cutFraction() > 0 && mRandom.nextDouble() < faults.cutFraction();
        if (faults.cutNextAnswers() > 0) {
            mFaults = faults.withCutNextAnswers(faults.cutNextAnswers() - 1);
            cut = true;
        }
        if (cut) {
            mEvents.record("answer-cut", Map.of());
        }
        return cut;
    }

    void onClosed(ProxyConnection connection) {
        if (mConnections.remove(connection)) {
            mEvents.count("closed");
        }
    }

    private void accept(Channel client) {
        if (mFaults.refuse()) {
            mEvents.record("refused", Map.of());
            reset(client);
            return;
        }
        new Bootstrap()
                .group(client.eventLoop())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.AUTO_READ, false)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(mTarget)
                .addListener(
                        (ChannelFuture connected) -> {
                            if (!connected.isSuccess()) {
                                mEvents.record("unreachable", Map.of());
                                reset(client);
                                return;
                            }
                            open(client, connected.channel());
                        });
    }

    private synchronized void open(Channel client, Channel target) {
        mEvents.record("opened", Map.of());
        mConnections.add(new ProxyConnection(this, client, target));
        if (!client.isActive()) {
            target.close();
        }
    }

    private static void reset(Channel client) {
        // Closing with a linger time of 0 sends a TCP reset, as a host without a listener does.
        client.config().setOption(ChannelOption.SO_LINGER, 0);
        client.close();
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        return CompletableFuture.completedFuture(
                switch (call.method() + " " + call.path()) {
                    case "GET /events" -> mEvents.handle(call);
                    case "GET /faults" -> FaultJson.toReply(mFaults);
                    case "POST /faults" -> changeFaults(call);
                    default -> HttpReply.problem(404, "{\"kind\":\"NotFound\"}");
                });
    }

    private synchronized HttpReply changeFaults(HttpCall call) {
        return FaultJson.merge(mFaults, call.body(), ProxyFaults.class)
                .peek(this::setFaults)
                .fold(badRequest -> badRequest, FaultJson::toReply);
    }

    /** Closes all connections and stops the proxy. */
    @Override
    public void close() {
        mListener.close().awaitUninterruptibly();
        mConnections.forEach(ProxyConnection::cut);
        mControl.close();
        mEventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
