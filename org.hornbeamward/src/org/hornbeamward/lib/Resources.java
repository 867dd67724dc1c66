package org.hornbeamward.lib;

/**
 * An amount of processors, memory and accelerators. Immutable.
 *
 * @param cpuMillicores thousandths of a processor
 * @param memoryMib memory in MiB
 * @param acceleratorCount whole accelerators
 */
public record Resources(long cpuMillicores, long memoryMib, int acceleratorCount) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Adds two amounts.
     *
     * @param other the amount to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillicores + other.cpuMillicores,
                memoryMib + other.memoryMib,
                acceleratorCount + other.acceleratorCount);
    }

    /**
     * Subtracts an amount. The result may be negative.
     *
     * @param other the amount to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillicores - other.cpuMillicores,
                memoryMib - other.memoryMib,
                acceleratorCount - other.acceleratorCount);
    }

    /**
     * Multiplies by a count.
     *
     * @param count the factor, 0 or more
     * @return the product
     */
    public Resources times(int count) {
        return new Resources(cpuMillicores * count, memoryMib * count, acceleratorCount * count);
    }

    /**
     * Returns whether this amount fits into another one in every dimension.
     *
     * @param free the amount available
     * @return true if no dimension exceeds {@code free}
     */
    public boolean fitsIn(Resources free) {
        return cpuMillicores <= free.cpuMillicores
                && memoryMib <= free.memoryMib
                && acceleratorCount <= free.acceleratorCount;
    }

    /**
     * Returns the larger amount of each resource.
     *
     * @param other the other amount
     * @return the largest amounts
     */
    public Resources max(Resources other) {
        return new Resources(
                Math.max(cpuMillicores, other.cpuMillicores),
                Math.max(memoryMib, other.memoryMib),
                Math.max(acceleratorCount, other.acceleratorCount));
    }

    /**
     * Returns the dominant share: the largest share of a total that this amount takes in any
     * dimension. A dimension in which the total is 0 counts as 0.
     *
     * @param total the total
     * @return the dominant share, 0.0 or more
     */
    public double dominantShareOf(Resources total) {
        double cpu = share(cpuMillicores, total.cpuMillicores);
        double memory = share(memoryMib, total.memoryMib);
        double accelerators = share(acceleratorCount, total.acceleratorCount);
        return Math.max(cpu, Math.max(memory, accelerators));
    }

    private static double share(long part, long total) {
        return total == 0 ? 0.0 : (double) part / total;
    }
}
