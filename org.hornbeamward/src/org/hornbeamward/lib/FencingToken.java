package org.hornbeamward.lib;

/** Computes fencing tokens. Tokens increase in the order of commands in the log. */
public final class FencingToken {
    private static final int INDEX_BITS = 10;

    private FencingToken() {}

    /**
     * Returns the token of an accepted command.
     *
     * @param offset offset of its record, 0 or more
     * @param index position in the record's batch, 0 to 1023
     * @return the token, above 0
     */
    public static long of(long offset, int index) {
        return ((offset + 1) << INDEX_BITS) | index;
    }
}
