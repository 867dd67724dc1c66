package org.hornbeamward.dispatch.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Set;
import org.hornbeamward.dispatch.account.AccessCheck.Access;
import org.hornbeamward.lib.Resources;
import org.junit.jupiter.api.Test;

/** Which callers are identified, and what the others are told. */
class AccessCheckTest {
    private static final KeyPolicy POLICY = KeyPolicy.withdrawnKeysEndWithin(5_000);

    private static ClientAccount account(String name, String... keys) {
        return new ClientAccount(
                name,
                Set.copyOf(List.of(keys).stream().map(KeyDigest::of).toList()),
                1,
                Resources.NONE);
    }

    private static final AccountDirectory ACCOUNTS =
            AccountDirectory.of(List.of(account("north", "k1", "k2"), account("south", "k3")));

    private static Access check(long viewAgeMillis, String... credentials) {
        return AccessCheck.check(ACCOUNTS, false, List.of(credentials), viewAgeMillis, POLICY);
    }

    /** Guards against a caller who is taken for one of another account. */
    @Test
    void aKeyIdentifiesTheAccountThatHoldsIt() {
        assertEquals(new Access.Granted("north"), check(100, "Bearer k2"));
        assertEquals(new Access.Granted("south"), check(100, "bearer k3"));
    }

    /** Guards against requests without a valid key that are served, or that cause an error. */
    @Test
    void aRequestWithoutAValidKeyIsUnauthorized() {
        List<String> malformed =
                List.of(
                        "",
                        "k1",
                        "Bearer",
                        "Bearer ",
                        "Basic k1",
                        "Bearer k1 k2",
                        "Bearer k\u00e9",
                        "Bearer \u0000",
                        "Bearer unknown",
                        "Bearer " + "k".repeat(8_192));
        malformed.forEach(
                credentials ->
                        assertInstanceOf(Access.Unauthorized.class, check(100, credentials)));
        assertInstanceOf(Access.Unauthorized.class, check(100));
        assertInstanceOf(Access.Unauthorized.class, check(100, "Bearer k1", "Bearer k1"));
    }

    /** Guards against a withdrawn key that is used at an instance without the store. */
    @Test
    void noKeyIsAcceptedFromAViewThatMayHoldWithdrawnOnes() {
        assertEquals(new Access.Granted("north"), check(4_400, "Bearer k1"));
        assertInstanceOf(Access.Unverifiable.class, check(4_600, "Bearer k1"));
        assertInstanceOf(Access.Unverifiable.class, check(Long.MAX_VALUE, "Bearer k1"));
    }

    /** Guards against a caller who is told that a key is invalid which has just been added. */
    @Test
    void anUnknownKeyIsNotDeniedFromAnOldView() {
        assertInstanceOf(Access.Unauthorized.class, check(1_500, "Bearer new"));
        assertInstanceOf(Access.Unverifiable.class, check(2_500, "Bearer new"));
    }

    /** Guards against keys that are asked for where operators configure no accounts. */
    @Test
    void aConfigurationWithoutAccountsAndAnOpenQueueNeedNoKey() {
        assertEquals(
                new Access.Granted(""),
                AccessCheck.check(AccountDirectory.NONE, false, List.of(), 60_000, POLICY));
        assertEquals(
                new Access.Granted(""),
                AccessCheck.check(ACCOUNTS, true, List.of("Bearer k1"), 60_000, POLICY));
    }

    /** Guards against accounts that lock all others out, or share a key. */
    @Test
    void aKeyOfTwoAccountsIdentifiesNeitherAndTheOtherKeysStayInForce() {
        AccountDirectory accounts =
                AccountDirectory.of(
                        List.of(
                                account("north", "k1", "shared"),
                                account("south", "k3", "shared"),
                                account("north", "k4")));
        assertFalse(accounts.byKey(KeyDigest.of("shared")).isPresent());
        assertFalse(accounts.byKey(KeyDigest.of("k4")).isPresent());
        assertEquals("north", accounts.byKey(KeyDigest.of("k1")).orElseThrow().name());
        assertEquals("south", accounts.byKey(KeyDigest.of("k3")).orElseThrow().name());
    }

    /** Guards against a key that shows in a log line or a dump of the state. */
    @Test
    void theTextOfAnAccountDoesNotShowItsKeys() {
        assertFalse(account("north", "secret-key").toString().contains("secret"));
    }
}
