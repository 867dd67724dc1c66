package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.errors.RequestOutcomeUnknown;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.pgm.admin.AdminServer;
import org.hornbeamward.pgm.settings.HostPort;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class AdminServerTest {
    private final FakeBackend mBackend = new FakeBackend();
    private final PrometheusRegistry mMetrics = new PrometheusRegistry();
    private AdminServer mServer;
    private AsyncHttpClient mClient;

    @BeforeEach
    void start() throws InterruptedException {
        mServer = new AdminServer(new HostPort("127.0.0.1", 0), mBackend, mMetrics);
        mClient = Dsl.asyncHttpClient();
    }

    @AfterEach
    void stop() throws Exception {
        mClient.close();
        mServer.close();
    }

    /** Guards against an error that maps to another HTTP status than the design specifies. */
    @Test
    void errorsMapToTheirStatus() throws Exception {
        String change = "{\"commandId\":\"c\",\"baseVersion\":9,\"noticeMillis\":1}";
        assertEquals(409, post("/v1/domains/east/out", change).getStatusCode());
        String conflict =
                post("/v1/domains/east/out", change.replace("\"c\"", "\"d\"")).getResponseBody();
        assertTrue(conflict.contains("\"currentVersion\":0"), conflict);
        assertEquals(422, post("/v1/jobs/no/cancel", "{\"commandId\":\"e\"}").getStatusCode());
        assertEquals(404, get("/v1/jobs/no").getStatusCode());
        assertEquals(404, get("/v1/nothing").getStatusCode());
        assertEquals(405, post("/v1/members", "{}").getStatusCode());
        mBackend.mForcedError = new LogUnavailable("append");
        assertEquals(503, post("/v1/jobs/no/cancel", "{\"commandId\":\"f\"}").getStatusCode());
        mBackend.mForcedError = new RequestOutcomeUnknown("no answer");
        assertEquals(504, post("/v1/jobs/no/cancel", "{\"commandId\":\"g\"}").getStatusCode());
    }

    /** Guards against malformed request bodies that reach the backend. */
    @Test
    void badBodiesAreRefusedBeforeTheBackend() throws Exception {
        int before = mBackend.mCommands.size();
        for (String body :
                new String[] {
                    "",
                    "[]",
                    "{",
                    "{// no comments here\n\"commandId\":\"c\"}",
                    "{\"commandId\":\"c d\"}",
                    "{\"commandId\":\"c\",\"job\":{}}",
                    "{\"commandId\":\"c\",\"baseVersion\":-1,\"changedEntries\":{}}",
                    "{\"commandId\":\"c\",\"baseVersion\":0,\"changedEntries\":{\"policy\":1}}",
                    "{\"commandId\":\"c\",\"baseVersion\":0,\"changedEntries\":{},\"x\":1}"
                }) {
            assertEquals(400, post("/v1/config", body).getStatusCode(), body);
            assertEquals(400, post("/v1/jobs", body).getStatusCode(), body);
        }
        assertEquals(400, post("/v1/domains/a%20b/out", "{}").getStatusCode());
        assertEquals(400, get("/v1/review?month=2026-13").getStatusCode());
        assertEquals(
                413,
                post("/v1/config", " ".repeat(AdminServer.MAX_BODY_BYTES + 1)).getStatusCode());
        assertEquals(before, mBackend.mCommands.size());
    }

    /** Guards against lost or swapped fields of a command. */
    @Test
    void takeOutReachesTheBackendWhole() throws Exception {
        Response response =
                post(
                        "/v1/domains/east/out",
                        "{\"commandId\":\"c1\",\"baseVersion\":0,\"noticeMillis\":500,"
                                + "\"lost\":true}");
        assertEquals(200, response.getStatusCode());
        assertEquals(
                new TakeOutDomain("c1", new FailureDomainId("east"), 0, 500, true),
                mBackend.mCommands.get(1));
        assertTrue(get("/v1/domains").getResponseBody().contains("\"inService\":false"));
    }

    /** Guards against an instance that receives requests before it can serve them. */
    @Test
    void readinessAndMetricsAreServed() throws Exception {
        assertEquals(200, get("/ready").getStatusCode());
        mBackend.mNotReady = "bootstrapping";
        assertEquals(503, get("/ready").getStatusCode());
        Counter.builder().name("hornbeamward_test").register(mMetrics).inc();
        String text = get("/metrics").getResponseBody();
        assertTrue(text.contains("hornbeamward_test_total 1.0"), text);
    }

    private Response get(String path) throws ExecutionException, InterruptedException {
        return mClient.prepareGet("http://127.0.0.1:" + mServer.port() + path).execute().get();
    }

    private Response post(String path, String body)
            throws ExecutionException, InterruptedException {
        return mClient.preparePost("http://127.0.0.1:" + mServer.port() + path)
                .setBody(body)
                .execute()
                .get();
    }
}
