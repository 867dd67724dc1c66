package org.hornbeamward.standin.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** One client connection and its connection to the target, on one event loop. */
final class ProxyConnection {
    private final ProxyStandIn mProxy;
    private final Channel mClient;
    private final Channel mTarget;
    private final ProxyDirection mRequests;
    private final ProxyDirection mResponses;
    private boolean mLostBytes;

    ProxyConnection(ProxyStandIn proxy, Channel client, Channel target) {
        mProxy = proxy;
        mClient = client;
        mTarget = target;
        mRequests = new ProxyDirection(client, target, () -> proxy.faults().frozen());
        mResponses = new ProxyDirection(target, client, () -> proxy.faults().frozen());
        client.pipeline().addLast(new Forwarder(true));
        target.pipeline().addLast(new Forwarder(false));
        client.config().setAutoRead(true);
        target.config().setAutoRead(true);
    }

    /** Forwards buffered bytes that are due, unless forwarding is suspended. */
    void forwardDueBytes() {
        mClient.eventLoop()
                .execute(
                        () -> {
                            mRequests.forwardDueBytes();
                            mResponses.forwardDueBytes();
                        });
    }

    void cut() {
        mClient.close();
        mTarget.close();
    }

    private void forward(boolean fromClient, ByteBuf bytes) {
        if (fromClient) {
            mRequests.add(bytes, mProxy.faults().delayMillis());
            return;
        }
        if (mProxy.drawResponseCut()) {
            bytes.release();
            cut();
            return;
        }
        mLostBytes |= mProxy.faults().dropAnswers();
        if (mLostBytes) {
            mProxy.events().count("answer-dropped");
            bytes.release();
            return;
        }
        mResponses.add(bytes, mProxy.faults().delayMillis());
    }

    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final boolean mFromClient;

        Forwarder(boolean fromClient) {
            mFromClient = fromClient;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf bytes = (ByteBuf) message;
            mProxy.addReceivedBytes(bytes.readableBytes());
            forward(mFromClient, bytes);
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            (mFromClient ? mResponses : mRequests).forwardDueBytes();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            // Bytes buffered for the closed side are discarded; bytes received from it are still
            // forwarded.
            (mFromClient ? mResponses : mRequests).release();
            (mFromClient ? mRequests : mResponses).sourceClosed();
            mProxy.onClosed(ProxyConnection.this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
