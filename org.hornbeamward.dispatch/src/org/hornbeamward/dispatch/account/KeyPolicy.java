package org.hornbeamward.dispatch.account;

/**
 * How old the known keys may be when a caller is identified by them.
 *
 * @param longestViewAgeMillis age of the configuration beyond which no key is accepted, since it
 *     may have been withdrawn; {@code Long.MAX_VALUE} for no limit
 */
public record KeyPolicy(long longestViewAgeMillis) {
    /** For platforms that set no bound on the use of withdrawn keys. */
    public static final KeyPolicy UNBOUNDED = new KeyPolicy(Long.MAX_VALUE);

    /**
     * Part of the bound that is left for clocks that run 2% fast or slow and for the time between
     * the check and the first effect of a request.
     */
    private static final long MARGIN_MILLIS = 500;

    /**
     * Creates the policy of a platform on which no request may run that is sent later than a bound
     * after its key was withdrawn.
     *
     * @param revocationMillis the bound, measured from the store's confirmation
     * @return the policy
     */
    public static KeyPolicy withdrawnKeysEndWithin(long revocationMillis) {
        return new KeyPolicy(Math.max(0, revocationMillis - MARGIN_MILLIS));
    }
}
