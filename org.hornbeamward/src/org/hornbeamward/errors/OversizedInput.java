package org.hornbeamward.errors;

/**
 * Input above its size limit.
 *
 * @param what what was too large
 * @param sizeBytes size announced or read so far
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
