package org.hornbeamward.schedule.worker;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.transport.message.TaskReport;
import org.hornbeamward.transport.message.WorkerMessage;

/**
 * A simulated log, instances with supervisors, and workers, driven by a virtual clock in a single
 * thread.
 */
final class FakeCluster {
    static final long STEP_NANOS = FakeInstance.nanos(50);

    final List<CommandBatch> mLog = new ArrayList<>();
    final ClusterState mState = new ClusterState();
    final List<FakeInstance> mInstances = new ArrayList<>();
    final List<FakeWorker> mWorkers = new ArrayList<>();
    final List<Command> mCommands = new ArrayList<>();
    final List<WorkerMessage> mSent = new ArrayList<>();
    long mNowNanos = FakeInstance.nanos(1_000_000);

    FakeCluster(int instanceCount, int workerCount) {
        for (int index = 0; index < instanceCount; index++) {
            mInstances.add(new FakeInstance("i" + index, index, "d" + index % 3));
        }
        for (int index = 0; index < workerCount; index++) {
            mWorkers.add(new FakeWorker("w" + index, "d" + index % 3, index * 1_000_003L));
        }
        SortedMap<String, String> entries = new TreeMap<>();
        entries.put(
                "team/a",
                "{\"weight\":1.0,\"quota\":{\"cpuMillicores\":1000000,"
                        + "\"memoryMib\":1000000,\"acceleratorCount\":0}}");
        mInstances.get(0).append(new PublishConfig("c", 0, entries));
        run(1_000);
    }

    void submit(String job, JobKind kind, int taskCount, long runMillis) {
        JobSpec spec =
                new JobSpec(
                        new JobId(job),
                        new TeamId("a"),
                        "class",
                        kind,
                        taskCount,
                        new Resources(1_000, 1_000, 0),
                        false,
                        true,
                        runMillis,
                        kind == JobKind.SERVICE ? 100 : 0);
        mInstances.get(0).append(new SubmitJob("submit-" + job, spec));
    }

    TaskState stateOf(String task) {
        return mState.work().task(TaskId.parse(task).get()).orElseThrow().state();
    }

    FakeInstance supervisorOf(FakeWorker worker) {
        return mInstances.stream()
                .filter(i -> i.mSupervisor.wantedLinks().containsKey(worker.id()))
                .findFirst()
                .orElseThrow();
    }

    FakeLink link(FakeInstance instance, FakeWorker worker) {
        return worker.mLinks.computeIfAbsent(instance, key -> new FakeLink());
    }

    void run(long millis) {
        long endNanos = mNowNanos + FakeInstance.nanos(millis);
        while (mNowNanos < endNanos) {
            step();
        }
    }

    void step() {
        mNowNanos += STEP_NANOS;
        for (FakeWorker worker : mWorkers) {
            runWorker(worker);
        }
        for (FakeInstance instance : mInstances) {
            if (instance.mReceivesPromises) {
                instance.mPromiseNanos = mNowNanos;
            }
            if (!instance.mPaused) {
                runInstance(instance);
            }
        }
        for (FakeInstance instance : mInstances) {
            while (instance.mAppends && !instance.mUnappended.isEmpty()) {
                mLog.add(instance.mUnappended.removeFirst());
            }
        }
        while (mState.nextOffset() < mLog.size()) {
            int offset = (int) mState.nextOffset();
            mState.apply(offset, mLog.get(offset));
        }
    }

    private void runWorker(FakeWorker worker) {
        if (worker.mPaused) {
            return;
        }
        long nowMillis = worker.clockMillis(mNowNanos);
        worker.mAgent.tick(nowMillis);
        for (FakeLink link : worker.mLinks.values()) {
            while (link.mUp && !link.mStalled && !link.mToWorker.isEmpty()) {
                WorkerMessage message = link.mToWorker.removeFirst();
                for (WorkerMessage answer : worker.mAgent.onMessage(message, nowMillis)) {
                    if (!(worker.mLosesReports && answer instanceof TaskReport)) {
                        link.mToSupervisor.addLast(FakeLink.encodeAndDecode(answer));
                    }
                }
            }
        }
    }

    private void runInstance(FakeInstance instance) {
        WorkerSupervisor supervisor = instance.mSupervisor;
        if (instance.mReadsLog) {
            instance.readLog(mLog, mNowNanos);
        }
        supervisor.onAddresses(addresses(), mNowNanos);
        for (FakeInstance peer : mInstances) {
            if (peer != instance && !peer.mPaused) {
                supervisor.onPeerOffset(peer.mId, peer.mState.nextOffset(), mNowNanos);
            }
        }
        for (FakeWorker worker : mWorkers) {
            receive(instance, worker);
        }
        SupervisorOutput output = supervisor.tick(mNowNanos, instance.active(mNowNanos));
        for (OutgoingMessage outgoing : output.messages()) {
            FakeWorker worker = worker(outgoing.worker());
            FakeLink link = link(instance, worker);
            mSent.add(outgoing.message());
            if (link.mUp) {
                link.mToWorker.addLast(FakeLink.encodeAndDecode(outgoing.message()));
            }
        }
        mCommands.addAll(output.commands());
        output.commands().forEach(instance::append);
    }

    private void receive(FakeInstance instance, FakeWorker worker) {
        FakeLink link = link(instance, worker);
        boolean wanted = instance.mSupervisor.wantedLinks().containsKey(worker.id());
        if (!wanted || link.mDisconnected) {
            link.drop();
        }
        if (link.mLossUnreported) {
            link.mLossUnreported = false;
            instance.mSupervisor.onLinkLost(worker.id());
        }
        if (wanted && !link.mDisconnected && !link.mUp) {
            link.mUp = true;
            instance.mSupervisor.onLinkOpen(worker.id(), mNowNanos);
        }
        while (link.mUp && !link.mStalled && !link.mToSupervisor.isEmpty()) {
            instance.mSupervisor.onMessage(
                    worker.id(), link.mToSupervisor.removeFirst(), mNowNanos);
        }
    }

    FakeWorker worker(WorkerId id) {
        return mWorkers.stream().filter(w -> w.id().equals(id)).findFirst().orElseThrow();
    }

    private SortedMap<WorkerId, String> addresses() {
        SortedMap<WorkerId, String> addresses = new TreeMap<>();
        mWorkers.forEach(worker -> addresses.put(worker.id(), "127.0.0.1:9"));
        return addresses;
    }
}
