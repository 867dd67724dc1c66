package org.hornbeamward.schedule.policy;

/** Slowdowns that classes cause each other on a worker. */
public interface SlowdownTable {
    /**
     * Returns the effect of one class on another.
     *
     * @param victim the class that is slowed down
     * @param aggressor the class that slows it down
     * @return increase of the victim's slowdown above 1 if the aggressor uses the whole worker; not
     *     negative
     */
    double coefficient(String victim, String aggressor);

    /**
     * Returns how the effect scales with the share of the worker that the aggressor uses.
     *
     * @return the exponent of the share; 1 if the effect is proportional
     */
    default double exponent() {
        return 1;
    }
}
