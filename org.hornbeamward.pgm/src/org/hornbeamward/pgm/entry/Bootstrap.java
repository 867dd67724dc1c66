package org.hornbeamward.pgm.entry;

import io.vavr.control.Either;
import java.security.SecureRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.SnapshotCorrupt;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.kernel.Duty;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.route.claim.ClaimTable;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.StateSnapshot;
import org.hornbeamward.storage.log.LogBounds;
import org.hornbeamward.storage.log.LogClient;
import org.hornbeamward.storage.log.StreamFollower;
import org.hornbeamward.storage.snapshot.LoadedSnapshot;
import org.hornbeamward.storage.snapshot.SnapshotLoader;

/**
 * Loads the state at start, and again when this process has fallen behind the log's retention: the
 * newest usable snapshot, or the empty state if both streams are retained from their first record.
 */
final class Bootstrap implements Duty {
    private static final int MAX_STATE_BYTES = 64 * 1024 * 1024;
    private static final long IDLE_MILLIS = 100;

    private final LogClient mLog;
    private final ControlRing mRing;
    private final StreamFollower mControl;
    private final RequestsFollower mRequests;
    private final AtomicBoolean mLoadRequested;
    private final JitteredBackoff mBackoff = new JitteredBackoff(new SecureRandom(), 250, 8_000);
    private volatile boolean mLoaded;

    /** A loaded state with the offset at which reading of the requests stream resumes. */
    private record Loaded(ClusterState state, ClaimTable claims, long requestsOffset) {}

    Bootstrap(
            LogClient log,
            ControlRing ring,
            StreamFollower control,
            RequestsFollower requests,
            AtomicBoolean loadRequested) {
        mLog = log;
        mRing = ring;
        mControl = control;
        mRequests = requests;
        mLoadRequested = loadRequested;
    }

    boolean loaded() {
        return mLoaded;
    }

    @Override
    public String name() {
        return "bootstrap";
    }

    @Override
    public void runOnce() throws InterruptedException {
        if (!mLoadRequested.get()) {
            Thread.sleep(IDLE_MILLIS);
            return;
        }
        Either<HornbeamwardError, Loaded> loaded = load();
        if (loaded.isLeft()) {
            LogEvent.LOG_UNAVAILABLE.log(loaded.getLeft().message());
            Thread.sleep(mBackoff.nextWaitMillis());
            return;
        }
        mBackoff.reset();
        mLoadRequested.set(false);
        Loaded state = loaded.get();
        mRing.offerBlocking(new ControlEvent.StateLoaded(state.state(), state.claims()));
        mRequests.restore(state.claims(), state.requestsOffset());
        mControl.resumeFrom(state.state().nextOffset());
        mLoaded = true;
    }

    private Either<HornbeamwardError, Loaded> load() throws InterruptedException {
        Either<HornbeamwardError, LogBounds> control = bounds(Incarnation.CONTROL_STREAM);
        Either<HornbeamwardError, LogBounds> requests = bounds(RequestsFollower.REQUESTS_STREAM);
        if (control.isLeft()) {
            return Either.left(control.getLeft());
        }
        if (requests.isLeft()) {
            return Either.left(requests.getLeft());
        }
        long earliestControl = control.get().earliestOffset();
        long earliestRequests = requests.get().earliestOffset();
        Either<HornbeamwardError, LoadedSnapshot> snapshot =
                new SnapshotLoader(mLog, SnapshotDuty.SNAPSHOT_STREAM, MAX_STATE_BYTES)
                        .setEarliestOffsets(earliestControl, earliestRequests)
                        .call();
        if (snapshot.isRight()) {
            return decode(snapshot.get());
        }
        if (earliestControl == 0 && earliestRequests == 0) {
            return Either.right(new Loaded(new ClusterState(), new ClaimTable(), 0));
        }
        return Either.left(snapshot.getLeft());
    }

    private Either<HornbeamwardError, LogBounds> bounds(String stream) throws InterruptedException {
        try {
            return mLog.bounds(stream).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the log client failed", e);
        }
    }

    private Either<HornbeamwardError, Loaded> decode(LoadedSnapshot snapshot) {
        String id = snapshot.manifest().snapshotId();
        byte[] control;
        byte[] claims;
        try {
            Reader in = new Reader(snapshot.state());
            in.array(2);
            control = in.bytes();
            claims = in.bytes();
        } catch (Reader.MalformedInputException e) {
            return Either.left(new SnapshotCorrupt(id, String.valueOf(e.getMessage())));
        }
        Either<HornbeamwardError, ClusterState> state = StateSnapshot.decode(id, control);
        return state.flatMap(
                decoded ->
                        ClaimTable.decode(claims)
                                .map(
                                        table ->
                                                new Loaded(
                                                        decoded,
                                                        table,
                                                        snapshot.manifest().requestsOffset())));
    }
}
