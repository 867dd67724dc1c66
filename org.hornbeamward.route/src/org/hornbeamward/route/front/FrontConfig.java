package org.hornbeamward.route.front;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.InvalidSetting;

/**
 * Settings of the front.
 *
 * @param maxQueueCount most requests of one service that wait for a slot
 * @param maxRequestBytes largest request body
 * @param maxResponseBytes largest response body
 * @param threadCount event loop threads of each HTTP side
 * @param maxRetryCount most retries of one request
 * @param loadBalancerWaitMillis time between reporting not ready and no longer accepting
 * @param stopMillis longest time to finish requests in flight
 */
public record FrontConfig(
        int maxQueueCount,
        int maxRequestBytes,
        int maxResponseBytes,
        int threadCount,
        int maxRetryCount,
        long loadBalancerWaitMillis,
        long stopMillis) {
    /** Values for small entry instances. */
    public static final FrontConfig DEFAULT =
            new FrontConfig(1_000, 1 << 20, 8 << 20, 2, 2, 2_000, 30_000);

    /**
     * Checks all values.
     *
     * @return every problem with its key, empty if there is none
     */
    public List<InvalidSetting> check() {
        List<InvalidSetting> problems = new ArrayList<>();
        atLeast("front.maxQueueCount", maxQueueCount, 1, problems);
        atLeast("front.maxRequestBytes", maxRequestBytes, 1, problems);
        atLeast("front.maxResponseBytes", maxResponseBytes, 1, problems);
        atLeast("front.threadCount", threadCount, 1, problems);
        atLeast("front.maxRetryCount", maxRetryCount, 0, problems);
        atLeast("front.loadBalancerWaitMillis", loadBalancerWaitMillis, 0, problems);
        atLeast("front.stopMillis", stopMillis, 0, problems);
        return problems;
    }

    private static void atLeast(String key, long value, long least, List<InvalidSetting> problems) {
        if (value < least) {
            problems.add(new InvalidSetting(key, "must be " + least + " or more"));
        }
    }
}
