package org.hornbeamward.errors;

/**
 * Input that exceeds its size limit.
 *
 * @param what description of the input
 * @param sizeBytes announced size, or size read so far
 * @param limitBytes the limit
 */
public record OversizedInput(String what, long sizeBytes, long limitBytes)
        implements HornbeamwardError {

    @Override
    public String message() {
        return what
                + " has "
                + sizeBytes
                + " bytes, above the limit of "
                + limitBytes
                + "; split it or send less";
    }
}
