package org.hornbeamward.pgm.admin;

import io.prometheus.metrics.expositionformats.ExpositionFormatWriter;
import io.prometheus.metrics.expositionformats.ExpositionFormats;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;

/** Serves the admin API, readiness and metrics on the admin address. */
public final class AdminServer implements AutoCloseable {
    /** Maximum size of a request body; a command must fit into one log record. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    private static final int THREAD_COUNT = 1;

    private final AdminBackend mBackend;
    private final PrometheusRegistry mMetrics;
    private final ExpositionFormats mFormats = ExpositionFormats.init();
    private final List<AdminRoute> mRoutes;
    private final HttpServer mServer;

    /**
     * Starts listening.
     *
     * @param address address to listen on; port 0 selects any free port
     * @param backend executes the operations
     * @param metrics registry that is exported at /metrics
     * @throws InterruptedException if interrupted while binding
     */
    public AdminServer(HostPort address, AdminBackend backend, PrometheusRegistry metrics)
            throws InterruptedException {
        mBackend = backend;
        mMetrics = metrics;
        mRoutes = AdminRoutes.of(backend);
        mServer =
                new HttpServer(
                        address.host(), address.port(), THREAD_COUNT, MAX_BODY_BYTES, this::handle);
    }

    /**
     * Returns the bound port.
     *
     * @return the port number
     */
    public int port() {
        return mServer.port();
    }

    /** Stops accepting connections; requests in flight are completed. */
    public void startDraining() {
        mServer.startDraining();
    }

    /** Closes all connections without waiting for requests in flight. */
    @Override
    public void close() {
        mServer.close();
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        if (call.path().equals("/ready") && call.method().equals("GET")) {
            return CompletableFuture.completedStage(ready());
        }
        if (call.path().equals("/metrics") && call.method().equals("GET")) {
            return CompletableFuture.completedStage(metrics(call));
        }
        boolean pathKnown = false;
        for (AdminRoute route : mRoutes) {
            Optional<String> id = route.match(call.path());
            pathKnown |= id.isPresent();
            if (id.isPresent() && route.method().equals(call.method())) {
                return route.operation().handle(call, id.get());
            }
        }
        return CompletableFuture.completedStage(
                pathKnown
                        ? Problems.reply(
                                405,
                                "MethodNotAllowed",
                                call.method() + " is not accepted here; see the admin API's table")
                        : Problems.reply(
                                404, "NotFound", "no such path; see the admin API's table"));
    }

    private HttpReply ready() {
        return mBackend.notReadyReason()
                .map(reason -> Problems.reply(503, "NotReady", reason))
                .orElseGet(() -> HttpReply.json(200, "{\"ready\":true}"));
    }

    private HttpReply metrics(HttpCall call) {
        String accept = call.headers().get("Accept");
        ExpositionFormatWriter writer = mFormats.findWriter(accept);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            writer.write(out, mMetrics.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new HttpReply(
                200, Map.of("Content-Type", writer.getContentType()), out.toByteArray());
    }
}
