package org.hornbeamward.route.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.hornbeamward.lib.EndpointId;
import org.junit.jupiter.api.Test;

/** Guards against retries and ejections that make an outage worse. */
class RetryTest {
    private static final int EJECT_AFTER_COUNT = 3;
    private static final long SECOND_NANOS = 1_000_000_000L;

    @Test
    void retriesStayWithinATenthOfRequests() {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int retries = 0;
        for (int request = 0; request < 10_000; request++) {
            budget.onRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertTrue(retries <= 1_010, "retries " + retries);
    }

    @Test
    void atMostAThirdOfEndpointsIsEjected() {
        EndpointHealth health = new EndpointHealth(EJECT_AFTER_COUNT);
        int ejected = 0;
        for (int index = 0; index < 7; index++) {
            EndpointId endpoint = new EndpointId("e" + index);
            for (int failure = 0; failure < 5; failure++) {
                health.onFailure(endpoint, 7, 0);
            }
            ejected += health.isEjected(endpoint, 0) ? 1 : 0;
            assertTrue(health.isAvoided(endpoint, 0));
        }
        assertEquals(2, ejected);
    }

    @Test
    void ejectionEndsAndTheNextFailureEjectsForLonger() {
        EndpointHealth health = new EndpointHealth(EJECT_AFTER_COUNT);
        EndpointId endpoint = new EndpointId("e");
        for (int failure = 0; failure < EJECT_AFTER_COUNT; failure++) {
            assertFalse(health.isEjected(endpoint, 0));
            health.onFailure(endpoint, 9, 0);
        }
        assertTrue(health.isEjected(endpoint, SECOND_NANOS - 1));
        assertFalse(health.isEjected(endpoint, SECOND_NANOS));
        health.onFailure(endpoint, 9, SECOND_NANOS);
        assertTrue(health.isEjected(endpoint, 3 * SECOND_NANOS - 1));
        health.onSent(endpoint, 3 * SECOND_NANOS);
        assertTrue(health.isEjected(endpoint, 3 * SECOND_NANOS + 1));
        health.onSuccess(endpoint);
        assertFalse(health.isEjected(endpoint, SECOND_NANOS));
    }

    @Test
    void requestThatWouldWaitPastItsDeadlineIsRefusedAtOnce() {
        AdmissionControl admission = new AdmissionControl(100, true);
        admission.recordServiceTime(SECOND_NANOS);
        assertTrue(admission.admits(3, 4, 2 * SECOND_NANOS));
        assertFalse(admission.admits(4, 4, 2 * SECOND_NANOS));
        assertTrue(admission.admits(4, 4, 3 * SECOND_NANOS));
        assertFalse(admission.admits(100, 1_000, 100 * SECOND_NANOS));
    }
}
