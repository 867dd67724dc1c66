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
 * Requests to one HTTP service. Every request has a time limit and every response a size limit.
 * Requests are never repeated by the library, because an append must be repeated by its appender
 * only. Safe for use by any thread.
 */
public final class LimitedHttpClient implements AutoCloseable {
    private static final int MAX_CONNECTIONS_COUNT = 16;

    private final AsyncHttpClient mClient;
    private final String mAddress;

    /**
     * Creates a client without connecting.
     *
     * @param name prefix of its thread names
     * @param host host name or address of the service
     * @param port port of the service
     * @param connectTimeoutMillis longest time for connecting
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
                                .setMaxConnectionsPerHost(MAX_CONNECTIONS_COUNT)
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
     * Reads a resource.
     *
     * @param pathAndQuery encoded path and query, beginning with a slash
     * @param headers header fields
     * @param timeoutMillis longest time until the response is complete
     * @param limitBytes largest response body
     * @return the response, {@link PeerUnreachable} or {@link
     *     org.hornbeamward.errors.OversizedInput}
     */
    public CompletableFuture<Either<HornbeamwardError, HttpAnswer>> get(
            String pathAndQuery, Map<String, String> headers, long timeoutMillis, long limitBytes) {
        RequestBuilder request = Dsl.get("http://" + mAddress + pathAndQuery);
        headers.forEach(request::setHeader);
        return execute(request, timeoutMillis, limitBytes);
    }

    /**
     * Sends a body.
     *
     * @param pathAndQuery encoded path and query, beginning with a slash
     * @param body the whole body
     * @param timeoutMillis longest time until the response is complete
     * @param limitBytes largest response body
     * @return the response, {@link PeerUnreachable} or {@link
     *     org.hornbeamward.errors.OversizedInput}
     */
    public CompletableFuture<Either<HornbeamwardError, HttpAnswer>> post(
            String pathAndQuery, byte[] body, long timeoutMillis, long limitBytes) {
        RequestBuilder request = Dsl.post("http://" + mAddress + pathAndQuery).setBody(body);
        return execute(request, timeoutMillis, limitBytes);
    }

    private CompletableFuture<Either<HornbeamwardError, HttpAnswer>> execute(
            RequestBuilder builder, long timeoutMillis, long limitBytes) {
        Duration timeout = Duration.ofMillis(timeoutMillis);
        Request request = builder.setRequestTimeout(timeout).setReadTimeout(timeout).build();
        String what = "response of " + request.getUrl();
        return mClient.executeRequest(request, new LimitedBodyHandler(what, limitBytes))
                .toCompletableFuture()
                .handle((answer, failure) -> failure == null ? answer : unreachable(failure));
    }

    private Either<HornbeamwardError, HttpAnswer> unreachable(Throwable failure) {
        Throwable cause = failure;
        if (failure instanceof CompletionException && failure.getCause() != null) {
            cause = failure.getCause();
        }
        @Nullable String message = cause.getMessage();
        String detail = message == null ? cause.getClass().getSimpleName() : message;
        return Either.left(new PeerUnreachable(mAddress, detail));
    }

    /** Closes all connections; open requests fail. */
    @Override
    public void close() {
        try {
            mClient.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }
}
