package org.hornbeamward.bench.recovery;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.hornbeamward.bench.fake.Deployment;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.StateSnapshot;

/**
 * Measures what a new member reads: the whole log, or a snapshot. Each task has one placement and
 * one checkpoint, each in a separate record, which is the maximum number of records for them.
 */
final class BootstrapCost {
    private static final int[] TASK_COUNTS = {100, 1_000, 10_000};
    private static final int CHUNK_BYTES = 128 * 1024;
    private static final InstanceId AUTHOR = new InstanceId("writer");

    private final Deployment mDeployment;
    private final long mSeed;
    private final SortedMap<String, Double> mFigures;
    private long mSequence;

    BootstrapCost(Deployment deployment, long seed, SortedMap<String, Double> figures) {
        mDeployment = deployment;
        mSeed = seed;
        mFigures = figures;
    }

    void run() {
        for (int count : TASK_COUNTS) {
            measure(count);
        }
    }

    private void measure(int taskCount) {
        RecoveryScenario scenario = new RecoveryScenario(mDeployment, mSeed);
        VirtualCluster cluster = scenario.mCluster;
        // All members are stopped below, and the remaining records are appended to the log
        // directly.
        cluster.log().mAvailable = true;
        cluster.submit("many", taskCount, new Resources(1, 1, 0), 1_000_000);
        cluster.liveMembers().forEach(member -> member.stopDeciding());
        scenario.runFor(RecoveryScenario.SECOND);
        cluster.members().forEach(member -> member.mDead = true);
        ClusterState state = new ClusterState();
        int commands = 0;
        VirtualLog log = cluster.log();
        while (state.nextOffset() < log.size()) {
            commands += apply(state, log).size();
        }
        mSequence = 0;
        commands += append(state, log, join()).size();
        List<WorkerId> workers = new ArrayList<>(state.work().workers().keySet());
        for (TaskId task : List.copyOf(state.work().pending())) {
            WorkerId worker = workers.get(task.index() % workers.size());
            List<CommandResult> placed = append(state, log, new PlaceTask(task, worker, 1));
            long token = placed.get(0).token();
            commands += placed.size();
            commands += append(state, log, new RecordCheckpoint(task, token, 1)).size();
        }
        byte[] snapshot = StateSnapshot.encode(state);
        ClusterState restored = StateSnapshot.decode("bench", snapshot).get();
        boolean same =
                StateSnapshot.digest(StateSnapshot.encode(restored))
                        == StateSnapshot.digest(snapshot);
        String prefix = String.format("bootstrap.%05dTasks.", taskCount);
        mFigures.put(prefix + "logBytes", (double) log.byteCount());
        mFigures.put(prefix + "decodedRecordCount", (double) log.size());
        mFigures.put(prefix + "appliedCommandCount", (double) commands);
        mFigures.put(prefix + "snapshotBytes", (double) snapshot.length);
        mFigures.put(
                prefix + "snapshotChunkCount", Math.ceil(snapshot.length / (double) CHUNK_BYTES));
        mFigures.put(prefix + "differingDigestCount", same ? 0.0 : 1.0);
    }

    private static JoinMember join() {
        return new JoinMember(
                AUTHOR, 1, new FailureDomainId("domain-0"), new RegionId("r"), "h:1", "h:2");
    }

    private List<CommandResult> append(ClusterState state, VirtualLog log, Command command) {
        log.append(
                BatchCodec.encode(new CommandBatch(AUTHOR, 1, ++mSequence, 0, List.of(command))));
        List<CommandResult> results = apply(state, log);
        if (results.isEmpty() || !results.get(0).accepted()) {
            throw new IllegalStateException("the state rejected " + command + ": " + results);
        }
        return results;
    }

    private static List<CommandResult> apply(ClusterState state, VirtualLog log) {
        return state.apply(state.nextOffset(), LogReplay.batch(log, state.nextOffset()));
    }
}
