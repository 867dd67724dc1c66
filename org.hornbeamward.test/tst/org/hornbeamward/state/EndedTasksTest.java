package org.hornbeamward.state;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.TreeMap;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
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
import org.junit.jupiter.api.Test;

/**
 * Guards against excessive memory use on every member by ended jobs: a few large jobs have many
 * tasks long before the limit on the number of ended jobs is reached.
 */
class EndedTasksTest {
    private static final InstanceId AUTHOR = new InstanceId("a");
    private static final int JOB_COUNT = WorkTable.MAX_ENDED_TASKS / WorkTable.MAX_TASKS_PER_JOB;

    @Test
    void largeEndedJobsAreDroppedOldestFirstAndAlikeAfterASnapshot() {
        ClusterState state = new ClusterState();
        apply(
                state,
                new JoinMember(
                        AUTHOR, 1, new FailureDomainId("d"), new RegionId("r"), "x:1", "x:2"));
        TreeMap<String, String> team = new TreeMap<>();
        team.put(
                "team/t",
                "{\"weight\":1,\"quota\":{\"cpuMillicores\":9,\"memoryMib\":9,"
                        + "\"acceleratorCount\":0}}");
        apply(state, new PublishConfig("c", 0, team));
        for (int i = 0; i < JOB_COUNT; i++) {
            submitAndCancel(state, i);
        }
        assertEquals(JOB_COUNT, state.work().jobs().size());
        ClusterState restored = StateSnapshot.decode("test", StateSnapshot.encode(state)).get();

        submitAndCancel(state, JOB_COUNT);
        submitAndCancel(restored, JOB_COUNT);

        assertEquals(JOB_COUNT, state.work().jobs().size());
        assertEquals(jobId(1), state.work().jobs().firstKey());
        assertTrue(state.work().jobs().containsKey(jobId(JOB_COUNT)));
        assertArrayEquals(StateSnapshot.encode(state), StateSnapshot.encode(restored));
    }

    private static JobId jobId(int number) {
        return new JobId(String.format("job-%02d", number));
    }

    private static void submitAndCancel(ClusterState state, int number) {
        Resources need = new Resources(1, 1, 0);
        JobSpec spec =
                new JobSpec(
                        jobId(number),
                        new TeamId("t"),
                        "c",
                        JobKind.BATCH,
                        WorkTable.MAX_TASKS_PER_JOB,
                        need,
                        false,
                        true,
                        0,
                        0);
        apply(state, new SubmitJob("s" + number, spec));
        apply(state, new CancelJob("x" + number, jobId(number)));
    }

    private static void apply(ClusterState state, Command command) {
        long sequence = state.nextOffset() + 1;
        CommandBatch batch = new CommandBatch(AUTHOR, 1, sequence, 0, List.of(command));
        assertTrue(state.apply(state.nextOffset(), batch).get(0).accepted(), command.toString());
    }
}
