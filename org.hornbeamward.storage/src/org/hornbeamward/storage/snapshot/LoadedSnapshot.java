package org.hornbeamward.storage.snapshot;

import java.util.List;
import org.hornbeamward.errors.HornbeamwardError;

/**
 * The newest valid snapshot.
 *
 * @param manifest its manifest
 * @param state the whole state bytes
 * @param ignored newer snapshots and malformed records that were not used, with the reason
 */
public record LoadedSnapshot(
        SnapshotManifest manifest, byte[] state, List<HornbeamwardError> ignored) {

    /** Copies the list. */
    public LoadedSnapshot {
        ignored = List.copyOf(ignored);
    }
}
