package org.hornbeamward.route.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.route.claim.AtMostOnceExecutor;
import org.hornbeamward.route.claim.ClaimLog;
import org.hornbeamward.route.slot.Cluster;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.standin.endpoint.EndpointEvent;
import org.hornbeamward.standin.endpoint.EndpointFaults;
import org.hornbeamward.standin.endpoint.StandinEndpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the front over real sockets. Guards against responses that belong to other requests,
 * requests that run twice, and refusals that claim "not run" for a request that may have run.
 */
class FrontHandlerTest {
    private static final EndpointFaults CLOSE_CONNECTION = new EndpointFaults(0, 0, 0, 0, 1, false);
    private static final FrontConfig CONFIG = new FrontConfig(100, 10_000, 100_000, 1, 2, 0, 5_000);

    private final ScheduledExecutorService mScheduler = Executors.newScheduledThreadPool(1);
    private final List<StandinEndpoint> mEndpoints = new ArrayList<>();
    private final Cluster mCluster = new Cluster();
    private final InstanceId mOwn = mCluster.join("a");
    private final SlotUse mUse = new SlotUse();
    private final HttpClient mCaller = HttpClient.newHttpClient();
    private volatile boolean mLogDown;
    private final AtMostOnceExecutor mClaims =
            new AtMostOnceExecutor(
                    mOwn,
                    1,
                    claimLog(),
                    (holder, key, millis) -> new CompletableFuture<>(),
                    MonotonicClock.SYSTEM,
                    () -> 0,
                    1_000_000);
    private final FrontHandler mHandler =
            new FrontHandler(CONFIG, mUse, mClaims, (service, outcome, nanos) -> {});
    private FrontServer mServer;

    private ClaimLog claimLog() {
        return record -> {
            if (mLogDown) {
                return CompletableFuture.failedFuture(new IllegalStateException("log down"));
            }
            mScheduler.execute(() -> mClaims.apply(record));
            return CompletableFuture.completedFuture(Either.right(0L));
        };
    }

    @BeforeEach
    void start() throws InterruptedException {
        String[] addresses = new String[2];
        TreeMap<EndpointId, Integer> changes = new TreeMap<>();
        for (int index = 0; index < addresses.length; index++) {
            mEndpoints.add(new StandinEndpoint("e" + index, 0, 2, 31, mScheduler));
            addresses[index] = "127.0.0.1:" + mEndpoints.get(index).port();
            changes.put(new EndpointId("e" + index), 8);
        }
        // Long enough that a slot kept after a broken connection is still in use when the test
        // checks it.
        mCluster.mRequestTimeoutMillis = 30_000;
        mCluster.configureLoan(mOwn, 8, addresses);
        mCluster.append(mOwn, mUse.begin(new ChangeSlots(changes, 0)));
        mUse.applied(mCluster.mState.slots(), mOwn);
        publish(Set.of());
        mServer = new FrontServer("127.0.0.1", 0, CONFIG, mHandler, mUse);
    }

    @AfterEach
    void stop() {
        mServer.close();
        mEndpoints.forEach(StandinEndpoint::close);
        mScheduler.shutdownNow();
    }

    private void publish(Set<EndpointId> leaving) {
        mHandler.publish(RoutingView.from(mCluster.mState, mOwn, leaving, true));
    }

    private CompletableFuture<HttpResponse<String>> call(
            String method, String path, String key, long timeoutMillis) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create("http://127.0.0.1:" + mServer.port() + "/loan" + path))
                        .method(method, HttpRequest.BodyPublishers.ofString("body of " + path))
                        .header("X-Request-Timeout-Millis", Long.toString(timeoutMillis));
        if (!key.isEmpty()) {
            request.header("Idempotency-Key", key);
        }
        return mCaller.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private void faults(EndpointFaults faults) {
        mEndpoints.forEach(endpoint -> endpoint.setFaults(faults));
    }

    private List<EndpointEvent> events() {
        return mEndpoints.stream().flatMap(endpoint -> endpoint.events().stream()).toList();
    }

    private static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("X-Hornbeamward-Outcome").orElse("");
    }

    @Test
    void eachCallerGetsTheAnswerToItsOwnRequestWhenAnswersAreLate() {
        faults(new EndpointFaults(0, 0, 0.3, 250, 0, false));
        List<CompletableFuture<HttpResponse<String>>> calls = new ArrayList<>();
        for (int index = 0; index < 60; index++) {
            calls.add(call("GET", "/r" + index, "", 150));
        }
        int answered = 0;
        for (int index = 0; index < calls.size(); index++) {
            HttpResponse<String> response = calls.get(index).join();
            if (response.statusCode() == 200) {
                answered++;
                assertTrue(response.body().contains("body of /r" + index + "\""));
            } else {
                assertFalse(outcome(response).isEmpty());
            }
        }
        assertTrue(answered > 0);
        events().forEach(event -> assertTrue(event.concurrentCount() <= 8));
    }

    @Test
    void lateAnswerKeepsItsSlotAndIsReportedUnknown() throws InterruptedException {
        faults(new EndpointFaults(0, 0, 1, 2_000, 0, false));
        HttpResponse<String> response = call("POST", "/issue", "k", 100).join();
        assertEquals(504, response.statusCode());
        assertEquals("unknown", outcome(response));
        assertEquals(1, mUse.totalUsed());
        assertTrue(mServer.drain());
        assertEquals(0, mUse.totalUsed());
        assertEquals(1, events().size());
    }

    @Test
    void closedConnectionAfterTheEffectIsUnknownAndItsRepeatIsNotRunAgain() {
        faults(CLOSE_CONNECTION);
        HttpResponse<String> first = call("POST", "/issue", "k", 10_000).join();
        HttpResponse<String> repeat = call("POST", "/issue", "k", 10_000).join();
        assertEquals("unknown", outcome(first));
        assertEquals(1, mUse.totalUsed());
        assertEquals("unknown", outcome(repeat));
        assertEquals(1, events().size());
        assertEquals(422, call("POST", "/other", "k", 10_000).join().statusCode());
    }

    @Test
    void idempotentRequestIsRepeatedAtAnotherEndpoint() {
        mEndpoints.get(0).setFaults(CLOSE_CONNECTION);
        for (int index = 0; index < 5; index++) {
            assertEquals(200, call("GET", "/r" + index, "", 10_000).join().statusCode());
        }
    }

    @Test
    void leavingEndpointGetsNoNewRequest() {
        publish(Set.of(new EndpointId("e0")));
        for (int index = 0; index < 20; index++) {
            assertEquals(200, call("GET", "/r" + index, "", 10_000).join().statusCode());
        }
        assertTrue(mEndpoints.get(0).events().isEmpty());
    }

    @Test
    void refusalsBeforeSendingAreNotRun() {
        mLogDown = true;
        assertEquals("not-run", outcome(call("POST", "/issue", "k", 10_000).join()));
        assertEquals(400, call("POST", "/issue", "", 500).join().statusCode());
        mHandler.publish(RoutingView.from(mCluster.mState, mOwn, Set.of(), false));
        HttpResponse<String> inactive = call("GET", "/r", "", 500).join();
        assertEquals("not-run", outcome(inactive));
        assertTrue(inactive.body().contains("RequestNotRun"));
        assertEquals(Set.of(), new HashSet<>(events()));
    }
}
