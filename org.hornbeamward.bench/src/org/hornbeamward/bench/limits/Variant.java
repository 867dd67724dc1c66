package org.hornbeamward.bench.limits;

import org.hornbeamward.route.retry.RetryPolicy;

/**
 * What is measured.
 *
 * @param name part of the figures' keys
 * @param planned whether slots follow demand; otherwise each member has an equal fixed share
 * @param policy retries, ejection and shedding
 */
record Variant(String name, boolean planned, RetryPolicy policy) {
    private static final double UNLIMITED_RATIO = 1e6;
    private static final int UNLIMITED_COUNT = Integer.MAX_VALUE;
    private static final RetryPolicy ON = RetryPolicy.DEFAULT;

    static final Variant PRODUCT = new Variant("product", true, ON);

    static final Variant BASELINE =
            new Variant(
                    "baseline",
                    false,
                    new RetryPolicy(
                            UNLIMITED_RATIO, UNLIMITED_COUNT, UNLIMITED_COUNT, false, false));

    static final Variant[] WITHOUT_ONE = {
        new Variant("withoutPlanner", false, ON),
        new Variant(
                "withoutBudget",
                true,
                new RetryPolicy(
                        UNLIMITED_RATIO, UNLIMITED_COUNT, ON.ejectAfterCount(), true, true)),
        new Variant(
                "withoutEjection",
                true,
                new RetryPolicy(
                        ON.retryRatio(), ON.retryBurstCount(), UNLIMITED_COUNT, true, true)),
        new Variant(
                "withoutShedding",
                true,
                new RetryPolicy(
                        ON.retryRatio(), ON.retryBurstCount(), ON.ejectAfterCount(), false, true)),
        new Variant(
                "withoutAttemptTimeout",
                true,
                new RetryPolicy(
                        ON.retryRatio(), ON.retryBurstCount(), ON.ejectAfterCount(), true, false)),
    };
}
