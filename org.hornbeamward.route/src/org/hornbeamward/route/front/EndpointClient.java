package org.hornbeamward.route.front;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.netty.request.NettyRequest;
import org.asynchttpclient.uri.Uri;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.jspecify.annotations.Nullable;

/**
 * Sends single attempts to endpoints over HTTP. A connection carries one request at a time. It is
 * closed unless the whole response was read, so that a response cannot be matched to another
 * request.
 */
final class EndpointClient implements AttemptSender, AutoCloseable {
    /**
     * Shorter than the usual idle timeouts of servers, so that few requests are sent on a
     * connection that the server has closed.
     */
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final int DEFAULT_PORT = 80;

    private final AsyncHttpClient mClient;
    private final int mMaxResponseBytes;

    EndpointClient(int threadCount, int maxResponseBytes) {
        mMaxResponseBytes = maxResponseBytes;
        mClient =
                new DefaultAsyncHttpClient(
                        new DefaultAsyncHttpClientConfig.Builder()
                                .setThreadPoolName("endpoint-client")
                                .setIoThreadsCount(threadCount)
                                // Retries by the client itself could run a request twice.
                                .setMaxRequestRetry(0)
                                .setFollowRedirect(false)
                                // A shared cookie store would send the cookies of one caller with
                                // the requests of another.
                                .setCookieStore(null)
                                .setKeepAlive(true)
                                .setTcpNoDelay(true)
                                .setConnectTimeout(CONNECT_TIMEOUT)
                                .setPooledConnectionIdleTimeout(IDLE_TIMEOUT)
                                .setCompressionEnforced(false)
                                .setEnableAutomaticDecompression(false)
                                .setUserAgent(null)
                                .build());
    }

    @Override
    public CompletionStage<SendResult> send(
            String address, HttpCall call, long remainingMillis, long maxAttemptMillis) {
        ResponseHandler handler = new ResponseHandler();
        try {
            mClient.executeRequest(
                    request(address, call, remainingMillis, maxAttemptMillis), handler);
        } catch (RuntimeException e) {
            handler.onThrowable(e);
        }
        return handler.mResult;
    }

    private static Request request(
            String address, HttpCall call, long remainingMillis, long maxAttemptMillis) {
        int colon = address.lastIndexOf(':');
        String host = colon < 0 ? address : address.substring(0, colon);
        int port = colon < 0 ? DEFAULT_PORT : Integer.parseInt(address.substring(colon + 1));
        int queryStart = call.rawUri().indexOf('?');
        String path = queryStart < 0 ? call.rawUri() : call.rawUri().substring(0, queryStart);
        String query = queryStart < 0 ? null : call.rawUri().substring(queryStart + 1);
        HttpHeaders headers = HeaderFilter.toEndpoint(call.headers());
        headers.set(HeaderFilter.TIMEOUT, remainingMillis);
        RequestBuilder builder =
                new RequestBuilder(call.method(), true)
                        .setUri(new Uri("http", null, host, port, path, query, null))
                        .setHeaders(headers)
                        .setRequestTimeout(Duration.ofMillis(maxAttemptMillis))
                        .setReadTimeout(Duration.ofMillis(maxAttemptMillis));
        if (call.body().length > 0) {
            builder.setBody(call.body());
        }
        return builder.build();
    }

    @Override
    public void close() {
        try {
            mClient.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private final class ResponseHandler implements AsyncHandler<Void> {
        private final CompletableFuture<SendResult> mResult = new CompletableFuture<>();
        private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        private @Nullable HttpHeaders mHeaders;
        private int mStatus;
        private volatile boolean mSendStarted;

        @Override
        public void onRequestSend(NettyRequest request) {
            mSendStarted = true;
        }

        @Override
        public State onStatusReceived(HttpResponseStatus status) {
            mStatus = status.getStatusCode();
            return State.CONTINUE;
        }

        @Override
        public State onHeadersReceived(HttpHeaders headers) {
            mHeaders = headers;
            return State.CONTINUE;
        }

        @Override
        public State onBodyPartReceived(HttpResponseBodyPart part) {
            byte[] bytes = part.getBodyPartBytes();
            if (mBody.size() + bytes.length > mMaxResponseBytes) {
                mResult.complete(
                        new SendResult.Broken(
                                "its answer is longer than " + mMaxResponseBytes + " bytes", true));
                return State.ABORT;
            }
            mBody.write(bytes, 0, bytes.length);
            return State.CONTINUE;
        }

        @Override
        public @Nullable Void onCompleted() {
            HttpHeaders headers = mHeaders;
            if (headers == null) {
                mResult.complete(new SendResult.Broken("the connection was closed", false));
                return null;
            }
            HttpReply reply = HeaderFilter.toCaller(mStatus, headers, mBody.toByteArray());
            mResult.complete(new SendResult.Answered(reply));
            return null;
        }

        @Override
        public void onThrowable(Throwable failure) {
            String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
            mResult.complete(
                    mSendStarted
                            ? new SendResult.Broken(reason, false)
                            : new SendResult.NotSent(reason));
        }
    }
}
