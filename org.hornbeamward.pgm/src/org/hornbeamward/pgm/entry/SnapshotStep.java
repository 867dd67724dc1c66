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
 * Publishes snapshots. The control duty encodes the state on the one member that the rendezvous
 * hash names; this duty's thread writes the bytes to the log.
 */
final class SnapshotStep implements Duty {
    static final String SNAPSHOT_STREAM = "snapshots";
    private static final long IDLE_MILLIS = 200;
    private static final int ATTEMPT_COUNT = 20;

    private final LogClient mLog;
    private final RequestsFollower mRequests;
    private final long mIntervalRecordCount;
    private final AtomicReference<Encoded> mNext = new AtomicReference<>();
    private long mControlMark;
    private long mRequestsMark;

    private record Encoded(
            long controlOffset, long requestsOffset, byte[] bytes, long stateDigest) {}

    SnapshotStep(LogClient log, RequestsFollower requests, long intervalRecordCount) {
        mLog = log;
        mRequests = requests;
        mIntervalRecordCount = intervalRecordCount;
    }

    /**
     * Encodes the state if a snapshot is due: whenever either stream has passed a multiple of the
     * interval, so that a busy requests stream alone cannot run ahead of the last snapshot. Called
     * by the control duty.
     */
    void update(ClusterState state, InstanceId own) {
        long controlMark = state.nextOffset() / mIntervalRecordCount;
        long requestsMark = mRequests.nextOffset() / mIntervalRecordCount;
        if (controlMark == mControlMark && requestsMark == mRequestsMark) {
            return;
        }
        mControlMark = controlMark;
        mRequestsMark = requestsMark;
        Optional<InstanceId> writer =
                RendezvousHash.pick("snapshot", state.members().all().keySet());
        if (writer.equals(Optional.of(own))) {
            encode(state);
        }
    }

    private void encode(ClusterState state) {
        // The offset is read first: applying a claim record twice has no effect.
        long requestsOffset = mRequests.nextOffset();
        byte[] control = StateSnapshot.encode(state);
        byte[] claims = mRequests.encodeTable();
        byte[] both = new Writer().array(2).bytes(control).bytes(claims).toBytes();
        mNext.set(
                new Encoded(
                        state.nextOffset(), requestsOffset, both, StateSnapshot.digest(control)));
    }

    @Override
    public String name() {
        return "snapshot";
    }

    @Override
    public void runOnce() throws InterruptedException {
        Encoded snapshot = mNext.getAndSet(null);
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
