package org.hornbeamward.storage.snapshot;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.storage.log.LogClient;

/**
 * Publishes one snapshot: its chunks in order, then its manifest. A failed append may have been
 * stored; it is retried, since loaders tolerate duplicate chunks and manifests. A snapshot that is
 * abandoned has no manifest and is ignored by loaders. Used by one thread.
 */
public final class SnapshotPublisher {
    private final LogClient mLog;
    private final String mStream;
    private final JitteredBackoff mBackoff;
    private final int mMaxAttempts;
    private String mSnapshotId = "";
    private long mControlOffset;
    private long mRequestsOffset;
    private long mStateDigest;
    private byte[] mState = new byte[0];

    /**
     * Creates a publisher.
     *
     * @param log the log service
     * @param stream name of the snapshots stream
     * @param backoff computes the delay between attempts
     * @param maxAttempts attempts per record before the snapshot is abandoned, at least 1
     */
    public SnapshotPublisher(
            LogClient log, String stream, JitteredBackoff backoff, int maxAttempts) {
        mLog = log;
        mStream = stream;
        mBackoff = backoff;
        mMaxAttempts = maxAttempts;
    }

    /**
     * Sets the id of the snapshot, which must be unique.
     *
     * @param snapshotId 1 to {@link SnapshotManifest#MAX_ID_LENGTH} bytes in UTF-8
     * @return this publisher
     */
    public SnapshotPublisher setSnapshotId(String snapshotId) {
        mSnapshotId = snapshotId;
        return this;
    }

    /**
     * Sets the offsets at which readers continue after loading the snapshot.
     *
     * @param controlOffset offset of the first {@code control} record that is not in the state
     * @param requestsOffset offset of the first {@code requests} record that is not in the state
     * @return this publisher
     */
    public SnapshotPublisher setOffsets(long controlOffset, long requestsOffset) {
        mControlOffset = controlOffset;
        mRequestsOffset = requestsOffset;
        return this;
    }

    /**
     * Sets the state to publish.
     *
     * @param state the complete state bytes; must not be modified until {@link #call} returns
     * @param stateDigest digest of the state at the control offset
     * @return this publisher
     */
    public SnapshotPublisher setState(byte[] state, long stateDigest) {
        mState = state;
        mStateDigest = stateDigest;
        return this;
    }

    /**
     * Publishes the snapshot. Blocks until all records are appended or the attempts for one record
     * are exhausted.
     *
     * @return the manifest, {@link LogUnavailable} or {@link InvalidSetting}
     * @throws InterruptedException if the thread is interrupted
     */
    public Either<HornbeamwardError, SnapshotManifest> call() throws InterruptedException {
        int idBytes = mSnapshotId.getBytes(StandardCharsets.UTF_8).length;
        if (idBytes < 1 || idBytes > SnapshotManifest.MAX_ID_LENGTH) {
            String range = "use 1 to " + SnapshotManifest.MAX_ID_LENGTH + " bytes";
            return Either.left(new InvalidSetting("snapshotId", range));
        }
        // An empty state is stored as one empty chunk, so that every manifest has at least one.
        int chunkCount = Math.max(1, Math.ceilDiv(mState.length, SnapshotChunk.MAX_BYTES));
        for (int index = 0; index < chunkCount; index++) {
            int from = index * SnapshotChunk.MAX_BYTES;
            int length = Math.min(SnapshotChunk.MAX_BYTES, mState.length - from);
            Either<HornbeamwardError, Long> appended =
                    append(SnapshotCodec.encodeChunk(mSnapshotId, index, mState, from, length));
            if (appended.isLeft()) {
                return Either.left(appended.getLeft());
            }
        }
        SnapshotManifest manifest =
                new SnapshotManifest(
                        mSnapshotId,
                        mControlOffset,
                        mRequestsOffset,
                        chunkCount,
                        SnapshotCodec.hash(mState, 0, mState.length),
                        mStateDigest);
        return append(SnapshotCodec.encodeManifest(manifest))
                .map(offset -> manifest)
                .peek(this::report);
    }

    private void report(SnapshotManifest manifest) {
        LogEvent.SNAPSHOT_PUBLISHED.log(
                manifest.snapshotId(), manifest.controlOffset(), mState.length);
    }

    private Either<HornbeamwardError, Long> append(byte[] record) throws InterruptedException {
        for (int attempt = 1; ; attempt++) {
            Either<HornbeamwardError, Long> result = BlockingLog.append(mLog, mStream, record);
            if (result.isRight()) {
                mBackoff.reset();
            }
            if (result.isRight() || attempt >= mMaxAttempts) {
                return result;
            }
            Thread.sleep(mBackoff.nextWaitMillis());
        }
    }
}
