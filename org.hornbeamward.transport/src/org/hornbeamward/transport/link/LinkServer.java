package org.hornbeamward.transport.link;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** Accepts links. */
public final class LinkServer implements AutoCloseable {
    private final ChannelGroup mConnections =
            new DefaultChannelGroup("links", GlobalEventExecutor.INSTANCE);
    private final Channel mListener;

    /**
     * Starts listening.
     *
     * @param loops threads of the connections; the caller stops them
     * @param host address to bind
     * @param port port to bind, 0 for any free one
     * @param handler receives the links and their messages
     * @param counters counts the traffic
     * @throws InterruptedException if interrupted while binding
     */
    public LinkServer(
            EventLoopGroup loops, String host, int port, LinkHandler handler, LinkCounters counters)
            throws InterruptedException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        ChannelLink.MAX_QUEUED_BYTES / 2,
                                        ChannelLink.MAX_QUEUED_BYTES))
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        mConnections.add(channel);
                                        channel.pipeline()
                                                .addLast(new LinkInitializer(handler, counters));
                                    }
                                });
        mListener = bootstrap.bind(host, port).sync().channel();
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /** Closes the open connections and goes on listening. */
    public void dropLinks() {
        mConnections.close();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        mListener.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
        mConnections.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
    }
}
