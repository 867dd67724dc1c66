package org.hornbeamward.pgm.entry;

import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicReference;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.RendezvousHash;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.StateSnapshot;
import org.hornbeamward.storage.log.LogClient;
import org.hornbeamward.storage.snapshot.SnapshotPublisher;

/**
 * Publishes snapshots. On the one member that rendezvous hashing selects, the control duty encodes
 * the state; this duty's thread writes the bytes to the log.
 */
final class SnapshotDuty implements Duty {
    static final String SNAPSHOT_STREAM = "snapshots";
    private static final long IDLE_MILLIS = 200;
    private static final int ATTEMPT_COUNT = 20;

    private final LogClient mLog;
    private final RequestsFollower mRequests;
    private final long mIntervalRecordCount;
    private final AtomicReference<EncodedSnapshot> mPendingSnapshot = new AtomicReference<>();
    private long mControlIntervalIndex;
    private long mRequestsIntervalIndex;

    private record EncodedSnapshot(
            long controlOffset, long requestsOffset, byte[] bytes, long stateDigest) {}

    SnapshotDuty(LogClient log, RequestsFollower requests, long intervalRecordCount) {
        mLog = log;
        mRequests = requests;
        mIntervalRecordCount = intervalRecordCount;
    }

    /**
     * Encodes the state if a snapshot is due, which is when either stream has passed a multiple of
     * the interval. Both streams count, so that a busy requests stream cannot get far ahead of the
     * last snapshot while the control stream is idle. Called by the control duty.
     */
    void update(ClusterState state, InstanceId own) {
        long controlIntervalIndex = state.nextOffset() / mIntervalRecordCount;
        long requestsIntervalIndex = mRequests.nextOffset() / mIntervalRecordCount;
        if (controlIntervalIndex == mControlIntervalIndex
                && requestsIntervalIndex == mRequestsIntervalIndex) {
            return;
        }
        mControlIntervalIndex = controlIntervalIndex;
        mRequestsIntervalIndex = requestsIntervalIndex;
        Optional<InstanceId> writer =
                RendezvousHash.pick("snapshot", state.members().all().keySet());
        if (writer.equals(Optional.of(own))) {
            encode(state);
        }
    }

    private void encode(ClusterState state) {
        // Read the offset before the table: a record applied in between is replayed, which is
        // harmless because applying a claim record is idempotent.
        long requestsOffset = mRequests.nextOffset();
        byte[] control = StateSnapshot.encode(state);
        byte[] claims = mRequests.encodeTable();
        byte[] payload = new Writer().array(2).bytes(control).bytes(claims).toBytes();
        mPendingSnapshot.set(
                new EncodedSnapshot(
                        state.nextOffset(),
                        requestsOffset,
                        payload,
                        StateSnapshot.digest(control)));
    }

    @Override
    public String name() {
        return "snapshot";
    }

    @Override
    public void runOnce() throws InterruptedException {
        EncodedSnapshot snapshot = mPendingSnapshot.getAndSet(null);
        if (snapshot == null) {
            Thread.sleep(IDLE_MILLIS);
            return;
        }
        String id = UUID.randomUUID().toString();
        new SnapshotPublisher(
                        mLog,
                        SNAPSHOT_STREAM,
                        new JitteredBackoff(new Random(), 250, 8_000),
                        ATTEMPT_COUNT)
                .setSnapshotId(id)
                .setOffsets(snapshot.controlOffset(), snapshot.requestsOffset())
                .setState(snapshot.bytes(), snapshot.stateDigest())
                .call()
                .peekLeft(error -> LogEvent.LOG_UNAVAILABLE.log(error.message()));
    }
}
