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
 * Where the chunks and manifests in a stream are, without the chunks' bytes. A chunk that was
 * appended several times is known by its first valid copy.
 */
final class SnapshotIndex {
    /** Place and size of a chunk. */
    record Place(long offset, int sizeBytes) {}

    private static final Comparator<SnapshotManifest> NEWEST_FIRST =
            Comparator.comparingLong(SnapshotManifest::controlOffset)
                    .thenComparingLong(SnapshotManifest::requestsOffset)
                    .reversed();

    private final Map<String, Map<Integer, Place>> mChunks = new HashMap<>();
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
                    .putIfAbsent(chunk.index(), new Place(offset, chunk.bytes().length));
        }
    }

    /** Manifests with the highest control offset first. */
    List<SnapshotManifest> candidates() {
        return mManifests.stream().sorted(NEWEST_FIRST).toList();
    }

    /** Places of a candidate's chunks in order, or fewer than its chunk count if some miss. */
    List<Place> places(SnapshotManifest manifest) {
        Map<Integer, Place> chunks = mChunks.getOrDefault(manifest.snapshotId(), Map.of());
        List<Place> places = new ArrayList<>();
        for (int index = 0; index < manifest.chunkCount(); index++) {
            Place place = chunks.get(index);
            if (place == null) {
                return places;
            }
            places.add(place);
        }
        return places;
    }

    /** Records that could not be used and snapshots without a manifest. */
    List<HornbeamwardError> errors() {
        List<HornbeamwardError> errors = new ArrayList<>(mErrors);
        Set<String> complete = new java.util.HashSet<>();
        mManifests.forEach(manifest -> complete.add(manifest.snapshotId()));
        mChunks.keySet().stream()
                .filter(id -> !complete.contains(id))
                .sorted()
                .map(id -> new SnapshotCorrupt(id, "it has no manifest"))
                .forEach(errors::add);
        return errors;
    }
}
