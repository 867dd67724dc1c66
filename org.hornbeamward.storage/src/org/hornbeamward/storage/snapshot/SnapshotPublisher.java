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
 * Publishes one snapshot: its chunks in order, then its manifest. An append without a clear answer
 * is repeated, since repeated chunks and manifests do no harm. A snapshot that is given up has no
 * manifest and is ignored by loaders. Used by one thread.
 */
public final class SnapshotPublisher {
    private final LogClient mLog;
    private final String mStream;
    private final JitteredBackoff mBackoff;
    private final int mAttempts;
    private String mSnapshotId = "";
    private long mControlOffset;
    private long mRequestsOffset;
    private long mStateDigest;
    private byte[] mState = new byte[0];

    /**
     * Creates a publisher.
     *
     * @param log the log service
     * @param stream name of the stream of snapshots
     * @param backoff waits between attempts
     * @param attempts attempts for each record before the snapshot is given up, at least 1
     */
    public SnapshotPublisher(LogClient log, String stream, JitteredBackoff backoff, int attempts) {
        mLog = log;
        mStream = stream;
        mBackoff = backoff;
        mAttempts = attempts;
    }

    /**
     * Sets the name of the snapshot, which no other snapshot may have.
     *
     * @param snapshotId 1 to {@link SnapshotManifest#MAX_ID_LENGTH} bytes in UTF-8
     * @return this publisher
     */
    public SnapshotPublisher setSnapshotId(String snapshotId) {
        mSnapshotId = snapshotId;
        return this;
    }

    /**
     * Sets where readers of the snapshot continue.
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
     * Sets the content.
     *
     * @param state the whole state bytes, not changed during the call
     * @param stateDigest digest of the state at the control offset
     * @return this publisher
     */
    public SnapshotPublisher setState(byte[] state, long stateDigest) {
        mState = state;
        mStateDigest = stateDigest;
        return this;
    }

    /**
     * Publishes the snapshot. Blocks until all records are appended or one is given up.
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
        // An empty state still has one chunk, so that every manifest names at least one.
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
            if (result.isRight() || attempt >= mAttempts) {
                return result;
            }
            Thread.sleep(mBackoff.nextWaitMillis());
        }
    }
}
