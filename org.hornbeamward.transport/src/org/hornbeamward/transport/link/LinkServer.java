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

/** Listens on a port and accepts links from peers. */
public final class LinkServer implements AutoCloseable {
    private final ChannelGroup mConnections =
            new DefaultChannelGroup("links", GlobalEventExecutor.INSTANCE);
    private final Channel mListener;

    /**
     * Binds a port and starts accepting connections.
     *
     * @param loops event loops of the connections; the caller shuts them down
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @param handler receives the links and their messages
     * @param counters counts the messages and bytes of all links
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

    /** Closes all open connections but keeps listening. */
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
