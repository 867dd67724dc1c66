package org.hornbeamward.transport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * An HTTP/1.1 server that handles one request at a time on each connection. A request body above
 * the limit is rejected with status 413 before all of it is buffered.
 */
public final class HttpServer implements AutoCloseable {
    private static final int BACKLOG_COUNT = 1024;

    private final EventLoopGroup mLoops;
    private final boolean mOwnsLoops;
    private final ChannelGroup mConnections =
            new DefaultChannelGroup("http", GlobalEventExecutor.INSTANCE);
    private final AtomicInteger mInFlight = new AtomicInteger();
    private final Channel mListener;
    private volatile boolean mClosingAfterResponses;

    /**
     * Binds a port and starts accepting connections on event loops of its own.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @param threadCount number of event loop threads
     * @param maxBodyBytes largest accepted request body
     * @param handler handles the requests
     * @throws InterruptedException if interrupted while binding
     */
    public HttpServer(String host, int port, int threadCount, int maxBodyBytes, HttpHandler handler)
            throws InterruptedException {
        this(host, port, threadCount, maxBodyBytes, Integer.MAX_VALUE, handler);
    }

    /**
     * Binds a port and starts accepting connections, up to a limit, on event loops of its own.
     *
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @param threadCount number of event loop threads
     * @param maxBodyBytes largest accepted request body
     * @param maxConnectionCount limit of open connections; a connection beyond it is closed when it
     *     is accepted
     * @param handler handles the requests
     * @throws InterruptedException if interrupted while binding
     */
    public HttpServer(
            String host,
            int port,
            int threadCount,
            int maxBodyBytes,
            int maxConnectionCount,
            HttpHandler handler)
            throws InterruptedException {
        this(
                new NioEventLoopGroup(threadCount),
                true,
                host,
                port,
                maxBodyBytes,
                maxConnectionCount,
                handler);
    }

    /**
     * Binds a port and starts accepting connections on shared event loops. Closing the server does
     * not shut them down.
     *
     * @param loops the shared event loops
     * @param host address to bind
     * @param port port to bind, 0 for any free port
     * @param maxBodyBytes largest accepted request body
     * @param maxConnectionCount limit of open connections; a connection beyond it is closed when it
     *     is accepted
     * @param handler handles the requests
     * @return the server
     * @throws InterruptedException if interrupted while binding
     */
    public static HttpServer on(
            EventLoopGroup loops,
            String host,
            int port,
            int maxBodyBytes,
            int maxConnectionCount,
            HttpHandler handler)
            throws InterruptedException {
        return new HttpServer(loops, false, host, port, maxBodyBytes, maxConnectionCount, handler);
    }

    private HttpServer(
            EventLoopGroup loops,
            boolean ownsLoops,
            String host,
            int port,
            int maxBodyBytes,
            int maxConnectionCount,
            HttpHandler handler)
            throws InterruptedException {
        mLoops = loops;
        mOwnsLoops = ownsLoops;
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG_COUNT)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        if (mConnections.size() >= maxConnectionCount) {
                                            channel.close();
                                            return;
                                        }
                                        mConnections.add(channel);
                                        channel.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(new OpenRequests())
                                                // Keeps back what is decoded while reading is
                                                // paused. It comes before the aggregator, which
                                                // rejects large bodies by itself.
                                                .addLast(new FlowControlHandler())
                                                .addLast(new HttpObjectAggregator(maxBodyBytes))
                                                .addLast(new RequestHandler(handler));
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

    /**
     * Returns the number of requests that were received and whose response is not yet flushed.
     *
     * @return number of requests in flight
     */
    public int inFlightCount() {
        return mInFlight.get();
    }

    /**
     * Returns the number of open connections.
     *
     * @return number of connections
     */
    public int connectionCount() {
        return mConnections.size();
    }

    /**
     * Closes each connection after its next response from now on, and tells the client so in the
     * response. Requests that have been read behind the one that is answered are answered first.
     * Connections are still accepted.
     */
    public void closeAfterResponses() {
        mClosingAfterResponses = true;
    }

    /** Stops accepting connections and closes each open connection after its next response. */
    public void startDraining() {
        closeAfterResponses();
        mListener.close();
    }

    /**
     * Stops accepting connections, closes those without a request at once and the others after
     * their next response.
     *
     * @return completed once all connections are closed, on any thread
     */
    public CompletableFuture<Void> drain() {
        closeAfterResponses();
        CompletableFuture<Void> drained = new CompletableFuture<>();
        mListener
                .close()
                .addListener(
                        unused -> {
                            mConnections.forEach(HttpServer::closeIfIdle);
                            mConnections
                                    .newCloseFuture()
                                    .addListener(closed -> drained.complete(null));
                        });
        return drained;
    }

    private static void closeIfIdle(Channel channel) {
        channel.eventLoop()
                .execute(
                        () -> {
                            OpenRequests requests = channel.pipeline().get(OpenRequests.class);
                            if (requests != null) {
                                requests.closeIfNone(channel);
                            }
                        });
    }

    /** Closes all connections at once, and shuts down the event loops if the server owns them. */
    @Override
    public void close() {
        mListener.close().awaitUninterruptibly();
        mConnections.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
        if (mOwnsLoops) {
            mLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Counts the requests of a connection whose first line has been read and that have no response
     * yet, also those that wait behind another one or are rejected by the aggregator. Once the
     * server closes connections, marks the response to the last of them and closes the connection
     * behind it.
     */
    private final class OpenRequests extends ChannelDuplexHandler {
        private int mCount;
        private boolean mLastResponseWritten;

        /** Closes the connection behind what is being sent, unless a request is open then. */
        void closeIfNone(Channel channel) {
            if (mCount == 0) {
                channel.writeAndFlush(Unpooled.EMPTY_BUFFER)
                        .addListener(
                                unused -> {
                                    if (mCount == 0) {
                                        channel.close();
                                    }
                                });
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (mLastResponseWritten) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof HttpRequest) {
                mCount++;
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (!(message instanceof HttpResponse response)
                    || response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                context.write(message, promise);
                return;
            }
            mCount--;
            if (mClosingAfterResponses && mCount == 0) {
                mLastResponseWritten = true;
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                context.write(message, promise.unvoid().addListener(ChannelFutureListener.CLOSE));
            } else {
                context.write(message, promise);
            }
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final HttpHandler mHandler;
        private boolean mClosing;

        RequestHandler(HttpHandler handler) {
            mHandler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (mClosing) {
                return;
            }
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            if (!request.decoderResult().isSuccess()) {
                HttpReply reply = HttpReply.json(400, "{\"kind\":\"MalformedRequest\"}");
                write(context, reply, false, context.newPromise());
                return;
            }
            mInFlight.incrementAndGet();
            CompletableFuture<HttpReply> answer = invokeHandler(request).toCompletableFuture();
            // Responses must be sent in the order of the requests, so reading is paused until the
            // response to this request is written. A response that is there already needs no pause;
            // to resume from here would handle the next request within this call.
            boolean paused = !answer.isDone();
            if (paused) {
                context.channel().config().setAutoRead(false);
            }
            answer.whenComplete(
                    (reply, failure) -> {
                        HttpReply response = failure == null ? reply : internalError(failure);
                        if (!paused) {
                            writeCounted(context, response, keepAlive);
                        } else if (context.executor().inEventLoop()) {
                            writeAndResume(context, response, keepAlive);
                        } else {
                            context.executor()
                                    .execute(() -> writeAndResume(context, response, keepAlive));
                        }
                    });
        }

        private CompletionStage<HttpReply> invokeHandler(FullHttpRequest request) {
            try {
                QueryStringDecoder target = new QueryStringDecoder(request.uri());
                return mHandler.handle(
                        new HttpCall(
                                request.method().name(),
                                target.path(),
                                request.uri(),
                                target.parameters(),
                                request.headers().copy(),
                                ByteBufUtil.getBytes(request.content())));
            } catch (RuntimeException e) {
                return CompletableFuture.failedStage(e);
            }
        }

        private HttpReply internalError(@Nullable Throwable failure) {
            return HttpReply.problem(
                    500,
                    "{\"kind\":\"InternalError\",\"message\":\""
                            + (failure == null ? "" : failure.getClass().getSimpleName())
                            + "; see the log of the instance\"}");
        }

        private void writeAndResume(
                ChannelHandlerContext context, HttpReply reply, boolean keepAlive) {
            writeCounted(context, reply, keepAlive);
            context.channel().config().setAutoRead(true);
        }

        private void writeCounted(
                ChannelHandlerContext context, HttpReply reply, boolean keepAlive) {
            // The request stays counted until its response is flushed, so that a graceful shutdown
            // does not cut off the response. Listeners run in order, and this one comes before
            // those that close the connection.
            ChannelPromise written = context.newPromise();
            written.addListener(unused -> mInFlight.decrementAndGet());
            write(context, reply, keepAlive, written);
        }

        private void write(
                ChannelHandlerContext context,
                HttpReply reply,
                boolean keepAlive,
                ChannelPromise written) {
            // Requests behind the last response on a connection are not carried out.
            mClosing |= !keepAlive || reply.status() == 0;
            if (reply.status() == 0) {
                context.close(written);
                return;
            }
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(reply.body()));
            reply.headers().forEach((name, value) -> response.headers().set(name, value));
            reply.repeatedHeaders()
                    .forEach(field -> response.headers().add(field.getKey(), field.getValue()));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
            if (!keepAlive) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
                written.addListener(ChannelFutureListener.CLOSE);
            }
            context.writeAndFlush(response, written);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
