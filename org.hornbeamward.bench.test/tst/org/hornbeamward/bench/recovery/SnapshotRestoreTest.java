package org.hornbeamward.bench.recovery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.command.Command;
import org.hornbeamward.schedule.decide.Decider;
import org.hornbeamward.schedule.policy.BestFitPolicy;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.StateSnapshot;
import org.junit.jupiter.api.Test;

/** Guards against a snapshot that omits state on which later records or decisions depend. */
class SnapshotRestoreTest {
    private static List<Command> decisions(ClusterState state) {
        return new Decider(new BestFitPolicy()).decide(state, List.of(), 1).commands();
    }

    private static List<Long> apply(ClusterState state, VirtualLog log) {
        return state.apply(state.nextOffset(), LogReplay.batch(log, state.nextOffset())).stream()
                .map(result -> result.accepted() ? result.token() : -1 - result.token())
                .toList();
    }

    @Test
    void stateRestoredAtAnyRecordAppliesLaterRecordsIdentically() {
        SmallCluster small = new SmallCluster(71);
        small.killAt(FailurePoint.AFTER_REPORT, 2);
        small.mCluster.time().runFor(60_000_000_000L);
        VirtualLog log = small.mCluster.log();
        List<List<Long>> outcomes = new ArrayList<>();
        List<byte[]> snapshots = new ArrayList<>();
        ClusterState state = new ClusterState();
        snapshots.add(StateSnapshot.encode(state));
        while (state.nextOffset() < log.size()) {
            outcomes.add(apply(state, log));
            byte[] snapshot = StateSnapshot.encode(state);
            snapshots.add(snapshot);
            ClusterState restored = StateSnapshot.decode("test", snapshot).get();
            assertEquals(decisions(state), decisions(restored), "at " + state.nextOffset());
        }
        for (int from = 0; from < log.size(); from++) {
            ClusterState restored = StateSnapshot.decode("test", snapshots.get(from)).get();
            for (int offset = from; offset < log.size(); offset++) {
                assertEquals(outcomes.get(offset), apply(restored, log), "restored at " + from);
            }
            assertArrayEquals(snapshots.getLast(), StateSnapshot.encode(restored));
        }
    }
}
