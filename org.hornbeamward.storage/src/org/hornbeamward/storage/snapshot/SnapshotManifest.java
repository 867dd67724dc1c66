package org.hornbeamward.storage.snapshot;

/**
 * Describes one complete snapshot.
 *
 * @param snapshotId id of the snapshot, 1 to {@link #MAX_ID_LENGTH} bytes in UTF-8
 * @param controlOffset offset of the first {@code control} record that is not in the state
 * @param requestsOffset offset of the first {@code requests} record that is not in the state
 * @param chunkCount number of chunks
 * @param stateHash XXH3 hash of the complete state bytes
 * @param stateDigest digest of the state, compared between members
 */
public record SnapshotManifest(
        String snapshotId,
        long controlOffset,
        long requestsOffset,
        int chunkCount,
        long stateHash,
        long stateDigest) {
    /** Maximum length of an id in bytes. */
    public static final int MAX_ID_LENGTH = 200;
}
