package org.hornbeamward.storage.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.Map;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.standin.proxy.ProxyFaults;
import org.hornbeamward.standin.proxy.ProxyStandIn;
import org.hornbeamward.storage.Await;
import org.hornbeamward.storage.internal.LimitedHttpClient;
import org.hornbeamward.storage.log.HttpLogClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against network faults that are set on the proxy but not injected. */
class ProxyStandInTest {
    private LogStandIn mLog;
    private ProxyStandIn mProxy;
    private HttpLogClient mClient;

    @BeforeEach
    void start() throws InterruptedException {
        mLog = new LogStandIn(0);
        mProxy = new ProxyStandIn(0, 0, new InetSocketAddress("127.0.0.1", mLog.port()));
        mClient = new HttpLogClient("127.0.0.1", mProxy.port(), 500);
    }

    @AfterEach
    void stop() {
        mClient.close();
        mProxy.close();
        mLog.close();
    }

    private boolean append() {
        return mClient.append("s", new byte[100_000]).join().isRight();
    }

    @Test
    void bytesPassUnchangedInBothDirectionsWithAndWithoutDelay() {
        assertTrue(append());
        mProxy.setFaults(ProxyFaults.NONE.withDelayMillis(20));
        assertTrue(append());
        mProxy.setFaults(ProxyFaults.NONE);
        assertEquals(2, mClient.read("s", 0, 0, 1_000_000).join().get().records().size());
    }

    @Test
    void responsesAreDroppedAfterTheRequestTookEffect() {
        mProxy.setFaults(ProxyFaults.NONE.withDropAnswers(true));
        assertFalse(append());
        mProxy.setFaults(ProxyFaults.NONE.withCutNextAnswers(1));
        assertFalse(append());
        assertEquals(2, mLog.records("s").size());
        assertTrue(append());
        assertEquals(1, mProxy.events().countOf("answer-cut"));
    }

    @Test
    void frozenConnectionHoldsBytesUntilItIsReleased() throws InterruptedException {
        try (HttpLogClient longTimeoutClient =
                new HttpLogClient("127.0.0.1", mProxy.port(), 60_000)) {
            assertTrue(longTimeoutClient.append("s", new byte[1]).join().isRight());
            mProxy.setFaults(ProxyFaults.NONE.withFrozen(true));
            var pendingAppend = longTimeoutClient.append("s", new byte[1]);
            assertFalse(append(), "a new connection is frozen too");
            assertFalse(pendingAppend.isDone());
            assertEquals(1, mLog.records("s").size());
            mProxy.setFaults(ProxyFaults.NONE);
            assertTrue(pendingAppend.join().isRight());
        }
    }

    @Test
    void cutClosesOpenConnectionsAndRefuseRejectsNewOnes() throws InterruptedException {
        var pendingRead = mClient.read("s", 0, 60_000, 10);
        Await.until("the read arrives", () -> mLog.events().countOf("read") == 1);
        mProxy.setFaults(ProxyFaults.NONE.withCut(true).withRefuse(true));
        assertTrue(pendingRead.join().isLeft());
        assertFalse(append());
        assertTrue(mProxy.events().countOf("refused") > 0);
        mProxy.setFaults(ProxyFaults.NONE);
        assertTrue(append());
    }

    @Test
    void faultsAreSetOnTheControlPort() {
        try (LimitedHttpClient control =
                new LimitedHttpClient("test", "127.0.0.1", mProxy.controlPort(), 5_000)) {
            byte[] fault = "{\"refuse\":true}".getBytes();
            assertEquals(200, control.post("/faults", fault, 5_000, 9_999).join().get().status());
            assertFalse(append());
            assertEquals(200, control.get("/events", Map.of(), 5_000, 9_999).join().get().status());
        }
    }
}
