package org.hornbeamward.storage.snapshot;

/** One part of a snapshot whose hash was right. */
record SnapshotChunk(String snapshotId, int index, byte[] bytes) {
    /** Largest part of the state in one record. */
    static final int MAX_BYTES = 128 * 1024;
}
