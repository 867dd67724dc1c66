package org.hornbeamward.route.front;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.InvalidSetting;

/**
 * Settings of the front.
 *
 * @param maxQueueCount maximum number of requests of one service that wait for a slot
 * @param maxRequestBytes maximum size of a request body
 * @param maxResponseBytes maximum size of a response body
 * @param threadCount number of event loop threads, each for the HTTP server and the HTTP client
 * @param maxRetryCount maximum number of retries of one request
 * @param loadBalancerWaitMillis time from reporting not ready until new requests are no longer
 *     accepted
 * @param stopMillis maximum time to finish requests in flight
 */
public record FrontConfig(
        int maxQueueCount,
        int maxRequestBytes,
        int maxResponseBytes,
        int threadCount,
        int maxRetryCount,
        long loadBalancerWaitMillis,
        long stopMillis) {
    /** Default values, meant for small entry instances. */
    public static final FrontConfig DEFAULT =
            new FrontConfig(1_000, 1 << 20, 8 << 20, 2, 2, 2_000, 30_000);

    /**
     * Checks all values.
     *
     * @return all invalid settings with their keys, empty if there are none
     */
    public List<InvalidSetting> check() {
        List<InvalidSetting> problems = new ArrayList<>();
        checkMinimum("front.maxQueueCount", maxQueueCount, 1, problems);
        checkMinimum("front.maxRequestBytes", maxRequestBytes, 1, problems);
        checkMinimum("front.maxResponseBytes", maxResponseBytes, 1, problems);
        checkMinimum("front.threadCount", threadCount, 1, problems);
        checkMinimum("front.maxRetryCount", maxRetryCount, 0, problems);
        checkMinimum("front.loadBalancerWaitMillis", loadBalancerWaitMillis, 0, problems);
        checkMinimum("front.stopMillis", stopMillis, 0, problems);
        return problems;
    }

    private static void checkMinimum(
            String key, long value, long minimum, List<InvalidSetting> problems) {
        if (value < minimum) {
            problems.add(new InvalidSetting(key, "must be " + minimum + " or more"));
        }
    }
}
