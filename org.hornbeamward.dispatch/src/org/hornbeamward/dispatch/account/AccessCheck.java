package org.hornbeamward.dispatch.account;

import java.util.List;
import java.util.Optional;

/**
 * Identifies the account of a request by its key. Load pattern: keys are added and withdrawn while
 * callers use them, and an instance may be cut off from the store, suspended or restarted
 * meanwhile. The decision depends on the age of the known configuration, which counts from the
 * sending of the last read that the store has answered: a key that was withdrawn earlier is gone.
 */
public final class AccessCheck {
    private static final String SCHEME = "Bearer ";

    /** Longest key that is looked up; keys of the platform have some dozens of characters. */
    private static final int MAX_KEY_LENGTH = 1_024;

    /**
     * Age of the configuration up to which an unknown key is known not to exist. An idle entry's
     * view is up to a second old, since each read waits for a second, and an answer takes a while.
     */
    private static final long KNOWN_KEYS_AGE_MILLIS = 2_000;

    /** The shortest time in which the store becomes available again. */
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private AccessCheck() {}

    /** Result of the check. */
    public sealed interface Access {
        /**
         * The request may be served.
         *
         * @param account name of the account; empty if the queue is open to all callers
         */
        record Granted(String account) implements Access {}

        /**
         * The request carries no key of an account.
         *
         * @param reason why, without the key
         */
        record Unauthorized(String reason) implements Access {}

        /**
         * It cannot be told now whether the key is valid.
         *
         * @param reason why
         * @param retryAfterMillis time after which the caller may try again
         */
        record Unverifiable(String reason, long retryAfterMillis) implements Access {}
    }

    /**
     * Checks a request.
     *
     * @param accounts accounts of the configuration in force
     * @param openToAll whether the queue serves callers without a key
     * @param credentials values of the request's authorization header
     * @param viewAgeMillis age of the configuration
     * @param policy how old it may be
     * @return whether the request may be served, and for which account
     */
    public static Access check(
            AccountDirectory accounts,
            boolean openToAll,
            List<String> credentials,
            long viewAgeMillis,
            KeyPolicy policy) {
        if (openToAll || !accounts.isConfigured()) {
            return new Access.Granted("");
        }
        if (credentials.size() != 1) {
            return new Access.Unauthorized(
                    credentials.isEmpty()
                            ? "the request carries no key; send it as Authorization: Bearer KEY"
                            : "the request carries more than one Authorization header");
        }
        Optional<String> key = parseKey(credentials.get(0));
        if (key.isEmpty()) {
            return new Access.Unauthorized(
                    "the Authorization header is not of the form Bearer KEY");
        }
        if (viewAgeMillis > policy.longestViewAgeMillis()) {
            return new Access.Unverifiable(
                    "the known keys are " + viewAgeMillis + " ms old and may have been withdrawn",
                    RETRY_AFTER_MILLIS);
        }
        Optional<ClientAccount> account = accounts.byKey(KeyDigest.of(key.get()));
        if (account.isPresent()) {
            return new Access.Granted(account.get().name());
        }
        return viewAgeMillis > KNOWN_KEYS_AGE_MILLIS
                ? new Access.Unverifiable(
                        "the key is not known, and the known keys are " + viewAgeMillis + " ms old",
                        RETRY_AFTER_MILLIS)
                : new Access.Unauthorized("no client account has the key");
    }

    private static Optional<String> parseKey(String credentials) {
        if (!credentials.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = credentials.substring(SCHEME.length()).strip();
        boolean visible = key.chars().allMatch(character -> character > ' ' && character < 0x7f);
        return key.isEmpty() || key.length() > MAX_KEY_LENGTH || !visible
                ? Optional.empty()
                : Optional.of(key);
    }
}
