package org.hornbeamward.standin.proxy;

/**
 * Faults of the proxy, set by {@code POST /faults} on the control port with a JSON object of these
 * fields; fields that are left out keep their value. The field {@code cut} is an action and is
 * false again afterwards.
 *
 * @param delayMillis time by which bytes are delayed in each direction
 * @param frozen no bytes are forwarded and connections stay open; held bytes follow afterwards
 * @param dropAnswers bytes from the target are discarded; a connection that lost bytes forwards no
 *     answer any more, even after the fault has ended
 * @param cutNextAnswers number of coming answers that are discarded, after the request was
 *     forwarded, by closing their connection
 * @param refuse new connections are reset
 * @param cutFraction fraction of answers, 0 to 1, that are discarded in the same way, chosen by the
 *     seed
 * @param seed seed of that choice; every change of faults starts the choice anew
 * @param cut true in a request closes all open connections
 */
public record ProxyFaults(
        long delayMillis,
        boolean frozen,
        boolean dropAnswers,
        int cutNextAnswers,
        boolean refuse,
        double cutFraction,
        long seed,
        boolean cut) {
    /** No faults. */
    public static final ProxyFaults NONE = new ProxyFaults(0, false, false, 0, false, 0, 1, false);

    /** Checks the ranges. */
    public ProxyFaults {
        if (delayMillis < 0 || cutNextAnswers < 0) {
            throw new IllegalArgumentException(
                    "delayMillis and cutNextAnswers must not be negative");
        }
        if (!(cutFraction >= 0 && cutFraction <= 1)) {
            throw new IllegalArgumentException("cutFraction must be from 0 to 1");
        }
    }

    /**
     * Sets the delay.
     *
     * @param value milliseconds in each direction
     * @return the changed faults
     */
    public ProxyFaults withDelayMillis(long value) {
        return new ProxyFaults(
                value, frozen, dropAnswers, cutNextAnswers, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets whether forwarding stands still.
     *
     * @param value whether it does
     * @return the changed faults
     */
    public ProxyFaults withFrozen(boolean value) {
        return new ProxyFaults(
                delayMillis, value, dropAnswers, cutNextAnswers, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets whether answers are discarded.
     *
     * @param value whether they are
     * @return the changed faults
     */
    public ProxyFaults withDropAnswers(boolean value) {
        return new ProxyFaults(
                delayMillis, frozen, value, cutNextAnswers, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets how many answers are cut off next.
     *
     * @param value number of coming answers
     * @return the changed faults
     */
    public ProxyFaults withCutNextAnswers(int value) {
        return new ProxyFaults(
                delayMillis, frozen, dropAnswers, value, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets whether new connections are reset.
     *
     * @param value whether they are
     * @return the changed faults
     */
    public ProxyFaults withRefuse(boolean value) {
        return new ProxyFaults(
                delayMillis, frozen, dropAnswers, cutNextAnswers, value, cutFraction, seed, cut);
    }

    /**
     * Sets the action that closes all open connections.
     *
     * @param value whether they are closed when the faults are put in force
     * @return the changed faults
     */
    public ProxyFaults withCut(boolean value) {
        return new ProxyFaults(
                delayMillis, frozen, dropAnswers, cutNextAnswers, refuse, cutFraction, seed, value);
    }
}
