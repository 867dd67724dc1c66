package org.hornbeamward.storage.snapshot;

import java.util.List;
import org.hornbeamward.errors.HornbeamwardError;

/**
 * The newest valid snapshot.
 *
 * @param manifest manifest of the snapshot
 * @param state the complete state bytes
 * @param ignored reasons why newer snapshots and malformed records were not used
 */
public record LoadedSnapshot(
        SnapshotManifest manifest, byte[] state, List<HornbeamwardError> ignored) {

    /** Copies the list of ignored errors. */
    public LoadedSnapshot {
        ignored = List.copyOf(ignored);
    }
}
