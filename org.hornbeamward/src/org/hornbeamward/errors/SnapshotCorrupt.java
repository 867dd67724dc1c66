package org.hornbeamward.errors;

/**
 * A snapshot with a missing chunk or a hash mismatch.
 *
 * @param snapshotId the id from its manifest
 * @param detail what is missing or does not match
 */
public record SnapshotCorrupt(String snapshotId, String detail) implements HornbeamwardError {

    @Override
    public String message() {
        return "snapshot " + snapshotId + " is corrupt: " + detail + "; an older one is used";
    }
}
