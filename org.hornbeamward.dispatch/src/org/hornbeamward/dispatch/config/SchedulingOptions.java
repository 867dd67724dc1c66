package org.hornbeamward.dispatch.config;

/**
 * What a deployment's own settings choose of the scheduler's behavior.
 *
 * @param looksAhead whether room is held for a large task that fits on no worker yet
 */
public record SchedulingOptions(boolean looksAhead) {
    /** The behavior without settings of the deployment's own. */
    public static final SchedulingOptions DEFAULT = new SchedulingOptions(false);
}
