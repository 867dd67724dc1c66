package org.hornbeamward.bench.limits;

import org.hornbeamward.route.retry.RetryPolicy;

/**
 * Configuration under test: the product, the baseline, or the product with one feature turned off.
 *
 * @param name part of the figures' keys
 * @param planned whether slots follow demand; otherwise each member has an equal fixed share
 * @param policy policy for retries, endpoint ejection and load shedding
 */
record Variant(String name, boolean planned, RetryPolicy policy) {
    private static final double UNLIMITED_RATIO = 1e6;
    private static final int UNLIMITED_COUNT = Integer.MAX_VALUE;
    private static final RetryPolicy DEFAULT = RetryPolicy.DEFAULT;

    static final Variant PRODUCT = new Variant("product", true, DEFAULT);

    static final Variant BASELINE =
            new Variant(
                    "baseline",
                    false,
                    new RetryPolicy(
                            UNLIMITED_RATIO, UNLIMITED_COUNT, UNLIMITED_COUNT, false, false));

    static final Variant[] ABLATIONS = {
        new Variant("withoutPlanner", false, DEFAULT),
        new Variant(
                "withoutBudget",
                true,
                new RetryPolicy(
                        UNLIMITED_RATIO, UNLIMITED_COUNT, DEFAULT.ejectAfterCount(), true, true)),
        new Variant(
                "withoutEjection",
                true,
                new RetryPolicy(
                        DEFAULT.retryRatio(),
                        DEFAULT.retryBurstCount(),
                        UNLIMITED_COUNT,
                        true,
                        true)),
        new Variant(
                "withoutShedding",
                true,
                new RetryPolicy(
                        DEFAULT.retryRatio(),
                        DEFAULT.retryBurstCount(),
                        DEFAULT.ejectAfterCount(),
                        false,
                        true)),
        new Variant(
                "withoutAttemptTimeout",
                true,
                new RetryPolicy(
                        DEFAULT.retryRatio(),
                        DEFAULT.retryBurstCount(),
                        DEFAULT.ejectAfterCount(),
                        true,
                        false)),
    };
}
