package org.hornbeamward.storage.snapshot;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.SnapshotCorrupt;
import org.hornbeamward.storage.log.LogRecord;

/**
 * Manifests and chunk locations in a stream, without the bytes of the chunks. A chunk that was
 * appended several times is indexed at its first valid copy.
 */
final class SnapshotIndex {
    /** Log offset and size of a chunk. */
    record ChunkLocation(long offset, int sizeBytes) {}

    private static final Comparator<SnapshotManifest> NEWEST_FIRST =
            Comparator.comparingLong(SnapshotManifest::controlOffset)
                    .thenComparingLong(SnapshotManifest::requestsOffset)
                    .reversed();

    private final Map<String, Map<Integer, ChunkLocation>> mChunks = new HashMap<>();
    private final Set<SnapshotManifest> mManifests = new LinkedHashSet<>();
    private final Set<HornbeamwardError> mErrors = new LinkedHashSet<>();

    void add(String stream, LogRecord record) {
        SnapshotCodec.decode(stream + " offset " + record.offset(), record.bytes())
                .peek(decoded -> add(record.offset(), decoded))
                .peekLeft(mErrors::add);
    }

    private void add(long offset, Record decoded) {
        if (decoded instanceof SnapshotManifest manifest) {
            mManifests.add(manifest);
        } else if (decoded instanceof SnapshotChunk chunk) {
            mChunks.computeIfAbsent(chunk.snapshotId(), unused -> new HashMap<>())
                    .putIfAbsent(chunk.index(), new ChunkLocation(offset, chunk.bytes().length));
        }
    }

    /** Manifests, highest control offset first. */
    List<SnapshotManifest> candidates() {
        return mManifests.stream().sorted(NEWEST_FIRST).toList();
    }

    /** Locations of the chunks of a candidate in order, up to the first missing chunk. */
    List<ChunkLocation> chunkLocations(SnapshotManifest manifest) {
        Map<Integer, ChunkLocation> chunks = mChunks.getOrDefault(manifest.snapshotId(), Map.of());
        List<ChunkLocation> locations = new ArrayList<>();
        for (int index = 0; index < manifest.chunkCount(); index++) {
            ChunkLocation location = chunks.get(index);
            if (location == null) {
                return locations;
            }
            locations.add(location);
        }
        return locations;
    }

    /** Errors of unusable records and of snapshots without a manifest. */
    List<HornbeamwardError> errors() {
        List<HornbeamwardError> errors = new ArrayList<>(mErrors);
        Set<String> withManifest = new java.util.HashSet<>();
        mManifests.forEach(manifest -> withManifest.add(manifest.snapshotId()));
        mChunks.keySet().stream()
                .filter(id -> !withManifest.contains(id))
                .sorted()
                .map(id -> new SnapshotCorrupt(id, "it has no manifest"))
                .forEach(errors::add);
        return errors;
    }
}
