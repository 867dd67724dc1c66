package org.hornbeamward.dispatch.entry;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.hornbeamward.transport.frame.Frames;

/** Accepts connections of the other entries and sends them feed messages. Runs on the loop. */
public final class FeedServer {
    /**
     * Limit of unsent bytes of a connection. A connection above it is closed, and the peer connects
     * again.
     */
    private static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

    private final Set<Channel> mPeers = new LinkedHashSet<>();
    private final Channel mListener;
    private Supplier<List<FeedMessage>> mInitialMessages = List::of;

    /**
     * Starts listening.
     *
     * @param group event loop group of the loop
     * @param host address to bind
     * @param port port to bind; 0 for any
     * @throws InterruptedException if interrupted while binding
     */
    public FeedServer(EventLoopGroup group, String host, int port) throws InterruptedException {
        mListener =
                new ServerBootstrap()
                        .group(group)
                        .channel(NioServerSocketChannel.class)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        Frames.addTo(channel.pipeline());
                                        channel.pipeline().addLast(new PeerHandler());
                                    }
                                })
                        .bind(host, port)
                        .sync()
                        .channel();
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return ((InetSocketAddress) mListener.localAddress()).getPort();
    }

    /**
     * Sets the messages that each new connection receives first.
     *
     * @param messages creates the messages
     */
    void setInitialMessages(Supplier<List<FeedMessage>> messages) {
        mInitialMessages = messages;
    }

    /** Sends a message to all connected peers. */
    void broadcast(FeedMessage message) {
        if (mPeers.isEmpty()) {
            return;
        }
        byte[] bytes = FeedMessage.encode(message);
        for (Channel peer : new ArrayList<>(mPeers)) {
            send(peer, bytes);
        }
    }

    /** Closes all connections to peers, which then connect to the new leader. */
    void disconnectAll() {
        new ArrayList<>(mPeers).forEach(Channel::close);
    }

    private void send(Channel peer, byte[] bytes) {
        if (peer.unsafe().outboundBuffer() != null
                && peer.unsafe().outboundBuffer().totalPendingWriteBytes() > MAX_UNSENT_BYTES) {
            peer.close();
            return;
        }
        peer.writeAndFlush(Unpooled.wrappedBuffer(bytes));
    }

    private final class PeerHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            mPeers.add(context.channel());
            for (FeedMessage message : mInitialMessages.get()) {
                send(context.channel(), FeedMessage.encode(message));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mPeers.remove(context.channel());
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
