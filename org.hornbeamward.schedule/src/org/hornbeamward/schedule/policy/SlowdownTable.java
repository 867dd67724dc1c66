package org.hornbeamward.schedule.policy;

/** How classes slow each other on a worker. */
public interface SlowdownTable {
    /**
     * Returns the effect of one class on another.
     *
     * @param victim class that is slowed
     * @param aggressor class that slows it
     * @return slowdown above 1 of the victim if the aggressor uses the whole worker, 0 or more
     */
    double coefficient(String victim, String aggressor);

    /**
     * Returns how the effect grows with the share of the worker that the aggressor uses.
     *
     * @return exponent of the share, 1 if the effect is proportional
     */
    default double exponent() {
        return 1;
    }
}
