package org.hornbeamward.storage.snapshot;

/** A part of the state in a snapshot, with a verified hash. */
record SnapshotChunk(String snapshotId, int index, byte[] bytes) {
    /** Maximum size of the state bytes in one record. */
    static final int MAX_BYTES = 128 * 1024;
}
