/** Time of a run. */
final class Clock {
    private static final long BEGIN_NANOS = System.nanoTime();

    private Clock() {}

    /** Returns the milliseconds since the start of the run. */
    static long millis() {
        return (System.nanoTime() - BEGIN_NANOS) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
