package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.standin.worker.WorkerIdentity;

/** Simulated cluster: members, workers and the log on one virtual clock. */
final class VirtualCluster {
    private static final RegionId REGION = new RegionId("r");
    private static final TeamId TEAM = new TeamId("t");
    private static final String QUOTA =
            "{\"weight\":1.0,\"quota\":{\"cpuMillicores\":100000000,"
                    + "\"memoryMib\":100000000,\"acceleratorCount\":0}}";

    private final EventQueue mTime = new EventQueue();
    private final VirtualLog mLog = new VirtualLog();
    private final List<VirtualMember> mMembers = new ArrayList<>();
    private final Map<WorkerId, VirtualWorker> mWorkers = new TreeMap<>();
    private final Random mRandom;
    private final int mDomainCount;
    private final long mNetworkNanos;

    /** Decides whether a member is killed at a failure point that it has reached. */
    BiPredicate<VirtualMember, FailurePoint> mFailureCondition = (member, point) -> false;

    VirtualCluster(Deployment deployment, int memberCount, int workerCount, long seed) {
        mRandom = new Random(seed);
        mDomainCount = deployment.domainCount();
        mNetworkNanos = deployment == Deployment.CONFIRMARE ? 1_000_000 : 500_000;
        for (int index = 0; index < workerCount; index++) {
            WorkerIdentity identity =
                    new WorkerIdentity(
                            new WorkerId(String.format("worker-%03d", index)),
                            new FailureDomainId("domain-" + index % mDomainCount),
                            REGION,
                            "rack-" + index / deployment.rackSize(),
                            deployment.capacity());
            mWorkers.put(identity.worker(), new VirtualWorker(this, identity, mRandom.nextLong()));
        }
        for (int index = 0; index < memberCount; index++) {
            start(index, 1);
        }
        mTime.runFor(1_000_000_000);
        SortedMap<String, String> entries = new TreeMap<>();
        entries.put("team/" + TEAM, QUOTA);
        offer(new PublishConfig("config", 0, entries));
        mTime.runFor(9_000_000_000L);
    }

    EventQueue time() {
        return mTime;
    }

    VirtualLog log() {
        return mLog;
    }

    long networkNanos() {
        return mNetworkNanos;
    }

    /** Returns the newest incarnation of each member, dead or alive. */
    List<VirtualMember> members() {
        return mMembers;
    }

    List<VirtualMember> liveMembers() {
        return mMembers.stream().filter(member -> !member.mDead).toList();
    }

    VirtualWorker worker(WorkerId id) {
        VirtualWorker worker = mWorkers.get(id);
        if (worker == null) {
            throw new IllegalArgumentException("worker " + id + " is unknown");
        }
        return worker;
    }

    List<VirtualWorker> workers() {
        return List.copyOf(mWorkers.values());
    }

    SortedMap<WorkerId, String> addresses() {
        SortedMap<WorkerId, String> addresses = new TreeMap<>();
        mWorkers.keySet().forEach(id -> addresses.put(id, "h:1"));
        return addresses;
    }

    VirtualMember decider() {
        return liveMembers().stream().filter(VirtualMember::decides).findFirst().orElseThrow();
    }

    void deliver(VirtualMember to, Runnable action) {
        mTime.after(
                mNetworkNanos,
                () -> {
                    if (!to.mDead) {
                        action.run();
                    }
                });
    }

    void onFailurePoint(VirtualMember member, FailurePoint point) {
        if (!member.mDead && mFailureCondition.test(member, point)) {
            member.mDead = true;
        }
    }

    /** Restarts all members with new incarnations. */
    void restartMembers() {
        List<VirtualMember> old = List.copyOf(mMembers);
        mMembers.clear();
        for (int index = 0; index < old.size(); index++) {
            start(index, old.get(index).mIncarnation + 1);
        }
    }

    /** Restarts one member with a new incarnation. */
    void restart(VirtualMember member) {
        int index = mMembers.indexOf(member);
        start(index, member.mIncarnation + 1);
        mMembers.set(index, mMembers.removeLast());
    }

    private void start(int index, long incarnation) {
        JoinMember join =
                new JoinMember(
                        new InstanceId("member-" + index),
                        incarnation,
                        new FailureDomainId("domain-" + index % mDomainCount),
                        REGION,
                        "h:1",
                        "h:2");
        mMembers.add(new VirtualMember(this, join, mRandom));
    }

    /** Returns the first live member that has read the log. */
    VirtualMember reader() {
        return liveMembers().stream().filter(member -> member.mJoined).findFirst().orElseThrow();
    }

    /** Appends a command through {@link #reader}. */
    void offer(Command command) {
        reader().mAppender.offer(command);
    }

    void submit(String job, int taskCount, Resources resources, long runMillis) {
        JobSpec spec =
                new JobSpec(
                        new JobId(job),
                        TEAM,
                        "pack",
                        JobKind.BATCH,
                        taskCount,
                        resources,
                        false,
                        true,
                        runMillis,
                        0);
        offer(new SubmitJob("submit-" + job, spec));
    }
}
