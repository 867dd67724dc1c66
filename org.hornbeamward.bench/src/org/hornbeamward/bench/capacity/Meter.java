package org.hornbeamward.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryMXBean;
import java.lang.management.ThreadMXBean;
import java.util.Arrays;
import java.util.function.Supplier;

/** Measures processor time of the calling thread and retained heap. */
final class Meter {
    private static final int REPEAT_COUNT = 15;
    private static final int GC_COUNT = 5;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final MemoryMXBean MEMORY = ManagementFactory.getMemoryMXBean();

    private Meter() {}

    static long cpuNanos() {
        return THREADS.getCurrentThreadCpuTime();
    }

    /** Returns the median of the measured runs, after twice as many warm-up runs. */
    static double medianCpuNanos(Runnable work) {
        for (int i = 0; i < 2 * REPEAT_COUNT; i++) {
            work.run();
        }
        double[] nanos = new double[REPEAT_COUNT];
        for (int i = 0; i < REPEAT_COUNT; i++) {
            long before = cpuNanos();
            work.run();
            nanos[i] = cpuNanos() - before;
        }
        return median(nanos);
    }

    static double median(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[sorted.length / 2];
    }

    /** Returns the heap that the result of the supplier retains. */
    static double retainedBytes(Supplier<Object> build) {
        long before = usedBytes();
        Object built = build.get();
        long after = usedBytes();
        java.lang.ref.Reference.reachabilityFence(built);
        return after - before;
    }

    private static long usedBytes() {
        // Unreachable objects count as used until a compaction, by default at every fourth call.
        for (int i = 0; i < GC_COUNT; i++) {
            System.gc();
        }
        return MEMORY.getHeapMemoryUsage().getUsed();
    }
}
