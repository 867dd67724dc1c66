package org.hornbeamward.dispatch.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamward.dispatch.account.ShareAdmission.Decision;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/** Shares and limits of client accounts, with replayed arrivals. */
class ShareTest {
    private static final Resources NO_LIMIT = Resources.NONE;

    private static ClientAccount account(String name, double jobsPerSecond, Resources limit) {
        return new ClientAccount(name, Set.of(), jobsPerSecond, limit);
    }

    /** Returns how many of the jobs that arrive evenly lie within the share. */
    private static int countWithin(
            ShareMeter meter, ClientAccount account, double jobsPerSecond, long forMillis) {
        int within = 0;
        for (int job = 0; job * 1_000 / jobsPerSecond < forMillis; job++) {
            within += meter.arrived(account, (long) (job * 1_000 / jobsPerSecond)) ? 1 : 0;
        }
        return within;
    }

    /** Load pattern: one account sends seven times its usual, which is half of its share. */
    @Test
    void anAccountThatSendsTooMuchHasAsManyJobsWithinItsShareAsTheShareAllows() {
        int within = countWithin(new ShareMeter(), account("hot", 2, NO_LIMIT), 7, 10_000);
        assertTrue(within >= 20 && within <= 24, "" + within);
    }

    /** Load pattern: twenty equal accounts at their share, and a large one beside small ones. */
    @Test
    void anAccountWithinItsShareIsNeverBeyondIt() {
        ShareMeter meter = new ShareMeter();
        for (int number = 0; number < 20; number++) {
            ClientAccount account = account("a" + number, 1, NO_LIMIT);
            assertEquals(10, countWithin(meter, account, 1, 10_000));
        }
        assertEquals(200, countWithin(meter, account("large", 20, NO_LIMIT), 20, 10_000));
    }

    /** Guards against small accounts whose two jobs of a moment count as too many. */
    @Test
    void aSmallAccountMaySendTwoJobsAtOnce() {
        ShareMeter meter = new ShareMeter();
        ClientAccount small = account("small", 0.5, NO_LIMIT);
        assertTrue(meter.arrived(small, 5_000));
        assertTrue(meter.arrived(small, 5_000));
        assertEquals(2_000, meter.waitMillis(small, 5_000));
        assertEquals(0, meter.waitMillis(small, 7_000));
    }

    /** Guards against an account without a configured share whose jobs all wait. */
    @Test
    void anAccountWithoutAShareIsNeverBeyondIt() {
        assertEquals(100, countWithin(new ShareMeter(), account("free", 0, NO_LIMIT), 10, 10_000));
    }

    /** Guards against jobs that are refused although there is room, or although they are owed. */
    @Test
    void onlyJobsBeyondTheShareThatWouldEndTooLateAreDeferred() {
        assertInstanceOf(Decision.Admitted.class, ShareAdmission.decide(0, 9_000, 500, 0.5));
        assertInstanceOf(Decision.Admitted.class, ShareAdmission.decide(700, 400, 500, 0.5));
        assertInstanceOf(Decision.Deferred.class, ShareAdmission.decide(700, 600, 500, 0.5));
    }

    /** Guards against deferred callers that all return at the same moment. */
    @Test
    void deferredCallersReturnSpreadAndNotBeforeTheShareAllowsAJob() {
        Set<Long> retryAfterMillis = new HashSet<>();
        List<Double> randoms = List.of(0.0, 0.25, 0.5, 0.75, 0.99);
        for (double random : randoms) {
            Decision decision = ShareAdmission.decide(2_500, 3_000, 500, random);
            retryAfterMillis.add(((Decision.Deferred) decision).retryAfterMillis());
        }
        assertEquals(randoms.size(), retryAfterMillis.size());
        assertTrue(retryAfterMillis.stream().allMatch(millis -> millis >= 2_500 && millis < 5_500));
    }

    /** Guards against limits that are exceeded, and against jobs that can never start. */
    @Test
    void aLimitHoldsInEachDimensionAndAdmitsOneTaskOfAnySize() {
        ClientAccount limited = account("limited", 1, new Resources(4_000, 1_000, 0));
        Resources task = new Resources(2_000, 300, 1);
        List<Boolean> admitted = new ArrayList<>();
        Resources running = Resources.NONE;
        for (int count = 0; count < 3; count++) {
            admitted.add(limited.admits(running, task));
            running = running.plus(task);
        }
        assertEquals(List.of(true, true, false), admitted);
        assertTrue(limited.admits(Resources.NONE, new Resources(9_000, 300, 0)));
        assertTrue(!limited.admits(new Resources(100, 900, 0), new Resources(100, 200, 0)));
        assertTrue(account("free", 1, NO_LIMIT).admits(new Resources(9_000, 900, 9), task));
    }
}
