package org.hornbeamward.errors;

/**
 * A snapshot with a missing chunk or a hash that differs.
 *
 * @param snapshotId id in its manifest
 * @param detail what was missing or differed
 */
public record SnapshotCorrupt(String snapshotId, String detail) implements HornbeamwardError {

    @Override
    public String message() {
        return "snapshot " + snapshotId + " is corrupt: " + detail + "; an older one is used";
    }
}
