package org.hornbeamward.schedule.worker;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.standin.worker.EventRecord;
import org.hornbeamward.standin.worker.WorkerAgent;
import org.hornbeamward.standin.worker.WorkerEvent;
import org.hornbeamward.standin.worker.WorkerIdentity;

/** A worker with its own clock origin and a link to each instance. */
final class FakeWorker {
    final WorkerIdentity mIdentity;
    final long mClockOffsetMillis;
    final EventRecord mEvents = new EventRecord();
    final Map<FakeInstance, FakeLink> mLinks = new HashMap<>();
    WorkerAgent mAgent;
    boolean mPaused;
    boolean mLosesReports;

    FakeWorker(String name, String failureDomain, long clockOffsetMillis) {
        mIdentity =
                new WorkerIdentity(
                        new WorkerId(name),
                        new FailureDomainId(failureDomain),
                        new RegionId("r"),
                        "rack",
                        new Resources(4_000, 4_000, 0));
        mClockOffsetMillis = clockOffsetMillis;
        mAgent = new WorkerAgent(mIdentity, 1, 7, mEvents, clockOffsetMillis);
    }

    WorkerId id() {
        return mIdentity.worker();
    }

    long clockMillis(long nowNanos) {
        return nowNanos / 1_000_000 + mClockOffsetMillis;
    }

    /** Restarts the worker process, which ends its tasks. */
    void restart(long nowNanos) {
        long nowMillis = clockMillis(nowNanos);
        mAgent.tick(nowMillis);
        long incarnation = mAgent.incarnation() + 1;
        mEvents.add(
                new WorkerEvent(
                        id().value(),
                        incarnation,
                        WorkerEvent.Kind.RESTARTED,
                        "",
                        0,
                        0,
                        "",
                        Resources.NONE,
                        nowMillis,
                        0));
        mAgent = new WorkerAgent(mIdentity, incarnation, 7, mEvents, nowMillis);
        mLinks.values().forEach(FakeLink::drop);
        mPaused = false;
    }
}
