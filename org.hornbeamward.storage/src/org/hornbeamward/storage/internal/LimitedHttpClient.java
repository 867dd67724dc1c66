package org.hornbeamward.storage.internal;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.PeerUnreachable;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client for one service. Every request has a timeout and every response a size limit. The
 * HTTP library never retries a request, because only the appender may resend an append. Safe for
 * use by any thread.
 */
public final class LimitedHttpClient implements AutoCloseable {
    private static final int MAX_CONNECTION_COUNT = 16;

    private final AsyncHttpClient mClient;
    private final String mAddress;

    /**
     * Creates a client without connecting.
     *
     * @param name prefix of the thread names
     * @param host host name or address of the service
     * @param port port of the service
     * @param connectTimeoutMillis connect timeout
     */
    public LimitedHttpClient(String name, String host, int port, long connectTimeoutMillis) {
        mAddress = (host.contains(":") ? "[" + host + "]" : host) + ":" + port;
        mClient =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setThreadPoolName(name)
                                .setIoThreadsCount(1)
                                .setMaxRequestRetry(0)
                                .setFollowRedirect(false)
                                .setCookieStore(null)
                                .setEnableAutomaticDecompression(false)
                                .setMaxConnectionsPerHost(MAX_CONNECTION_COUNT)
                                .setConnectTimeout(Duration.ofMillis(connectTimeoutMillis))
                                .setShutdownTimeout(Duration.ofMillis(500))
                                .setShutdownQuietPeriod(Duration.ZERO));
    }

    /**
     * Returns the address of the service.
     *
     * @return host and port
     */
    public String address() {
        return mAddress;
    }

    /**
     * Sends a GET request.
     *
     * @param pathAndQuery encoded path and query, beginning with a slash
     * @param headers header fields
     * @param timeoutMillis maximum time until the response is complete
     * @param limitBytes maximum size of the response body
     * @return the response, {@link PeerUnreachable} or {@link
     *     org.hornbeamward.errors.OversizedInput}
     */
    public CompletableFuture<Either<HornbeamwardError, HttpResponse>> get(
            String pathAndQuery, Map<String, String> headers, long timeoutMillis, long limitBytes) {
        RequestBuilder request = Dsl.get("http://" + mAddress + pathAndQuery);
        headers.forEach(request::setHeader);
        return execute(request, timeoutMillis, limitBytes);
    }

    /**
     * Sends a POST request.
     *
     * @param pathAndQuery encoded path and query, beginning with a slash
     * @param body request body
     * @param timeoutMillis maximum time until the response is complete
     * @param limitBytes maximum size of the response body
     * @return the response, {@link PeerUnreachable} or {@link
     *     org.hornbeamward.errors.OversizedInput}
     */
    public CompletableFuture<Either<HornbeamwardError, HttpResponse>> post(
            String pathAndQuery, byte[] body, long timeoutMillis, long limitBytes) {
        RequestBuilder request = Dsl.post("http://" + mAddress + pathAndQuery).setBody(body);
        return execute(request, timeoutMillis, limitBytes);
    }

    private CompletableFuture<Either<HornbeamwardError, HttpResponse>> execute(
            RequestBuilder builder, long timeoutMillis, long limitBytes) {
        Duration timeout = Duration.ofMillis(timeoutMillis);
        Request request = builder.setRequestTimeout(timeout).setReadTimeout(timeout).build();
        String what = "response of " + request.getUrl();
        return mClient.executeRequest(request, new LimitedBodyHandler(what, limitBytes))
                .toCompletableFuture()
                .handle((response, failure) -> failure == null ? response : unreachable(failure));
    }

    private Either<HornbeamwardError, HttpResponse> unreachable(Throwable failure) {
        Throwable cause = failure;
        if (failure instanceof CompletionException && failure.getCause() != null) {
            cause = failure.getCause();
        }
        @Nullable String message = cause.getMessage();
        String detail = message == null ? cause.getClass().getSimpleName() : message;
        return Either.left(new PeerUnreachable(mAddress, detail));
    }

    /** Closes all connections; pending requests fail. */
    @Override
    public void close() {
        try {
            mClient.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
