package org.hornbeamward.standin.proxy;

/**
 * Faults of the proxy, set by {@code POST /faults} on the control port with a JSON object of these
 * fields; fields that are left out keep their value. The field {@code cut} is an action and is
 * reset to false afterwards.
 *
 * @param delayMillis delay of bytes in each direction
 * @param frozen whether forwarding is suspended; connections stay open and buffered bytes are
 *     forwarded when the fault ends
 * @param dropAnswers whether bytes from the target are discarded; a connection that lost bytes
 *     forwards no further responses, even after the fault has ended
 * @param cutNextAnswers number of next responses that are discarded, after the request was
 *     forwarded, by closing their connection
 * @param refuse whether new connections are reset
 * @param cutFraction fraction of responses, 0 to 1, that are discarded in the same way, drawn from
 *     the seed
 * @param seed seed of that draw; every change of the faults restarts the sequence
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

    /** Checks the ranges of the fields. */
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
     * @return a changed copy
     */
    public ProxyFaults withDelayMillis(long value) {
        return new ProxyFaults(
                value, frozen, dropAnswers, cutNextAnswers, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets whether forwarding is suspended.
     *
     * @param value whether it is suspended
     * @return a changed copy
     */
    public ProxyFaults withFrozen(boolean value) {
        return new ProxyFaults(
                delayMillis, value, dropAnswers, cutNextAnswers, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets whether responses are discarded.
     *
     * @param value whether they are discarded
     * @return a changed copy
     */
    public ProxyFaults withDropAnswers(boolean value) {
        return new ProxyFaults(
                delayMillis, frozen, value, cutNextAnswers, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets how many of the next responses are discarded by closing their connection.
     *
     * @param value number of next responses
     * @return a changed copy
     */
    public ProxyFaults withCutNextAnswers(int value) {
        return new ProxyFaults(
                delayMillis, frozen, dropAnswers, value, refuse, cutFraction, seed, cut);
    }

    /**
     * Sets whether new connections are reset.
     *
     * @param value whether they are reset
     * @return a changed copy
     */
    public ProxyFaults withRefuse(boolean value) {
        return new ProxyFaults(
                delayMillis, frozen, dropAnswers, cutNextAnswers, value, cutFraction, seed, cut);
    }

    /**
     * Sets the action that closes all open connections.
     *
     * @param value whether they are closed when the faults become active
     * @return a changed copy
     */
    public ProxyFaults withCut(boolean value) {
        return new ProxyFaults(
                delayMillis, frozen, dropAnswers, cutNextAnswers, refuse, cutFraction, seed, value);
    }
}
