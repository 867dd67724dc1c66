package org.hornbeamward.dispatch.port;

/**
 * A reading of the monotonic clock and the time of day. Its age counts time in which the machine
 * was suspended, which the monotonic clock does not, so a process that was paused does not take old
 * knowledge for fresh.
 *
 * @param monotonicMillis time on the monotonic clock
 * @param wallMillis time of day in Unix milliseconds
 */
public record ClockReading(long monotonicMillis, long wallMillis) {
    /**
     * Reads the clocks.
     *
     * @param loop provides the clocks
     * @return the present time
     */
    public static ClockReading now(Loop loop) {
        return new ClockReading(loop.nowMillis(), loop.wallMillis());
    }

    /**
     * Returns the time since the reading.
     *
     * @param loop provides the clocks
     * @return milliseconds, the larger value of the two clocks
     */
    public long ageMillis(Loop loop) {
        return Math.max(loop.nowMillis() - monotonicMillis, loop.wallMillis() - wallMillis);
    }
}
