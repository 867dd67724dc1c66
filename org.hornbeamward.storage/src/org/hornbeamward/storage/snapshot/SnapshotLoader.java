package org.hornbeamward.storage.snapshot;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogRetentionPassed;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.errors.NoUsableSnapshot;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.errors.SnapshotCorrupt;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.storage.log.LogClient;
import org.hornbeamward.storage.log.LogRead;
import org.hornbeamward.storage.log.LogRecord;

/**
 * Loads the newest valid snapshot. A first pass over the stream keeps only the manifests and the
 * locations of the chunks; a second pass reads the chunks of one candidate at a time, newest first.
 * Used by one thread.
 */
public final class SnapshotLoader {
    private static final int READ_BYTES = 512 * 1024;

    private final LogClient mLog;
    private final String mStream;
    private final int mMaxStateBytes;
    private long mEarliestControlOffset;
    private long mEarliestRequestsOffset;

    /**
     * Creates a loader.
     *
     * @param log the log service
     * @param stream name of the snapshots stream
     * @param maxStateBytes maximum size of a state that is loaded
     */
    public SnapshotLoader(LogClient log, String stream, int maxStateBytes) {
        mLog = log;
        mStream = stream;
        mMaxStateBytes = maxStateBytes;
    }

    /**
     * Sets the earliest readable offsets of the streams.
     *
     * @param controlOffset earliest offset of {@code control}
     * @param requestsOffset earliest offset of {@code requests}
     * @return this loader
     */
    public SnapshotLoader setEarliestOffsets(long controlOffset, long requestsOffset) {
        mEarliestControlOffset = controlOffset;
        mEarliestRequestsOffset = requestsOffset;
        return this;
    }

    /**
     * Loads the complete snapshot with the highest control offset that is not before the earliest
     * offsets. Blocks while reading. A failed read is not retried; the caller retries the load.
     *
     * @return the snapshot, {@link NoUsableSnapshot}, or the error of the log
     * @throws InterruptedException if the thread is interrupted
     */
    public Either<HornbeamwardError, LoadedSnapshot> call() throws InterruptedException {
        Either<HornbeamwardError, SnapshotIndex> scanned = scan();
        if (scanned.isLeft()) {
            return Either.left(scanned.getLeft());
        }
        SnapshotIndex index = scanned.get();
        List<HornbeamwardError> ignored = index.errors();
        ignored.forEach(error -> LogEvent.SNAPSHOT_IGNORED.log(error.message()));
        for (SnapshotManifest manifest : index.candidates()) {
            Either<HornbeamwardError, byte[]> state =
                    load(manifest, index.chunkLocations(manifest));
            if (state.isRight()) {
                LogEvent.SNAPSHOT_LOADED.log(manifest.snapshotId(), manifest.controlOffset());
                return Either.right(new LoadedSnapshot(manifest, state.get(), ignored));
            }
            if (state.getLeft() instanceof LogUnavailable) {
                return Either.left(state.getLeft());
            }
            LogEvent.SNAPSHOT_IGNORED.log(state.getLeft().message());
            ignored.add(state.getLeft());
        }
        return Either.left(
                new NoUsableSnapshot(mEarliestControlOffset, mEarliestRequestsOffset, ignored));
    }

    private Either<HornbeamwardError, SnapshotIndex> scan() throws InterruptedException {
        SnapshotIndex index = new SnapshotIndex();
        long offset = 0;
        while (true) {
            Either<HornbeamwardError, LogRead> result =
                    BlockingLog.read(mLog, mStream, offset, READ_BYTES);
            if (result.isRight()) {
                result.get().records().forEach(record -> index.add(mStream, record));
                offset = result.get().nextOffset(offset);
                if (offset >= result.get().endOffset()) {
                    return Either.right(index);
                }
            } else if (result.getLeft() instanceof LogRetentionPassed passed) {
                offset = passed.earliestOffset();
            } else {
                return Either.left(result.getLeft());
            }
        }
    }

    private Either<HornbeamwardError, byte[]> load(
            SnapshotManifest manifest, List<SnapshotIndex.ChunkLocation> locations)
            throws InterruptedException {
        String id = manifest.snapshotId();
        if (manifest.controlOffset() < mEarliestControlOffset
                || manifest.requestsOffset() < mEarliestRequestsOffset) {
            return corrupt(id, "its offsets are before the retention of the streams");
        }
        if (locations.size() < manifest.chunkCount()) {
            return corrupt(id, "chunk " + locations.size() + " is missing");
        }
        long sizeBytes = locations.stream().mapToLong(SnapshotIndex.ChunkLocation::sizeBytes).sum();
        if (sizeBytes > mMaxStateBytes) {
            return Either.left(new OversizedInput("snapshot " + id, sizeBytes, mMaxStateBytes));
        }
        byte[] state = new byte[(int) sizeBytes];
        int copiedBytes = 0;
        for (int i = 0; i < locations.size(); i++) {
            Either<HornbeamwardError, byte[]> chunk = readChunk(id, i, locations.get(i));
            if (chunk.isLeft()) {
                return chunk;
            }
            System.arraycopy(chunk.get(), 0, state, copiedBytes, chunk.get().length);
            copiedBytes += chunk.get().length;
        }
        if (SnapshotCodec.hash(state, 0, state.length) != manifest.stateHash()) {
            return corrupt(id, "hash of the whole state differs");
        }
        return Either.right(state);
    }

    private Either<HornbeamwardError, byte[]> readChunk(
            String id, int index, SnapshotIndex.ChunkLocation location)
            throws InterruptedException {
        Either<HornbeamwardError, LogRead> read =
                BlockingLog.read(mLog, mStream, location.offset(), 1);
        if (read.isLeft()) {
            return Either.left(read.getLeft());
        }
        List<LogRecord> records = new ArrayList<>(read.get().records());
        if (records.isEmpty() || records.get(0).offset() != location.offset()) {
            return corrupt(id, "chunk " + index + " is no longer in the log");
        }
        String place = mStream + " offset " + location.offset();
        return SnapshotCodec.decode(place, records.get(0).bytes())
                .flatMap(
                        decoded ->
                                decoded instanceof SnapshotChunk chunk
                                                && chunk.bytes().length == location.sizeBytes()
                                        ? Either.right(chunk.bytes())
                                        : corrupt(id, "chunk " + index + " has changed"));
    }

    private static Either<HornbeamwardError, byte[]> corrupt(String id, String detail) {
        return Either.left(new SnapshotCorrupt(id, detail));
    }
}
