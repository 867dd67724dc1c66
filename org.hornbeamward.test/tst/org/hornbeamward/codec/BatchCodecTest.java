package org.hornbeamward.codec;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.LeaveMember;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.RejectJob;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.command.ReportFigures;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.junit.jupiter.api.Test;

/**
 * Guards against commands that encoding and decoding alter, and against malformed records that are
 * not reported as errors.
 */
class BatchCodecTest {
    private static final InstanceId ENTRY = new InstanceId("entry-1");
    private static final FailureDomainId DOMAIN = new FailureDomainId("kigali-1");
    private static final TaskId TASK = new TaskId(new JobId("pack-1"), 7);
    private static final WorkerId WORKER = new WorkerId("worker-1");
    private static final Resources SIZE = new Resources(1_500, 2_048, 1);

    private static final List<Command> COMMANDS =
            List.of(
                    new JoinMember(ENTRY, 5, DOMAIN, new RegionId("rw"), "a:1", "a:2"),
                    new LeaveMember(),
                    new SuspectMember(ENTRY, 5),
                    new TrustMember(ENTRY, 5),
                    new RemoveAbsentMember(ENTRY, 5, 9),
                    new RenewMember(1 << 20, 12),
                    new PublishConfig("c1", 3, new TreeMap<>(Map.of("policy", "{}"))),
                    new TakeOutDomain("c2", DOMAIN, 4, 30_000, true),
                    new BringBackDomain("c3", DOMAIN, 5),
                    new SubmitJob(
                            "c4",
                            new JobSpec(
                                    new JobId("pack-1"),
                                    new TeamId("letters"),
                                    "pack",
                                    JobKind.BATCH,
                                    8,
                                    SIZE,
                                    true,
                                    true,
                                    60_000,
                                    0)),
                    new CancelJob("c5", new JobId("pack-1")),
                    new RejectJob(new JobId("pack-2"), "too large"),
                    new PlaceTask(TASK, WORKER, 77),
                    new StopTask(TASK, 99, StopReason.PREEMPTED),
                    new RecordCheckpoint(TASK, 99, 3),
                    new EndTask(TASK, 99, TaskOutcome.STOPPED, 3),
                    new RegisterWorker(
                            WORKER, 77, DOMAIN, new RegionId("rw"), "rack-1", SIZE, "a:3", 4),
                    new RemoveLostWorker(WORKER, 77, 4),
                    new ReleaseWorker("c6", WORKER),
                    new ChangeSlots(new TreeMap<>(Map.of(new EndpointId("front-1"), -2)), 8));

    @Test
    void everyCommandRoundTrips() {
        CommandBatch batch = new CommandBatch(ENTRY, 5, 1, 1_700_000_000_000L, COMMANDS);
        assertEquals(batch, BatchCodec.decode("control@0", BatchCodec.encode(batch)).get());
        assertEquals(
                commandTypeCount(Command.class),
                COMMANDS.size() + 1,
                "a command type is missing from COMMANDS");
    }

    private static int commandTypeCount(Class<?> type) {
        return type.isSealed()
                ? Arrays.stream(type.getPermittedSubclasses())
                        .mapToInt(BatchCodecTest::commandTypeCount)
                        .sum()
                : 1;
    }

    @Test
    void histogramsRoundTrip() {
        TreeMap<String, byte[]> histograms = new TreeMap<>(Map.of("loan", new byte[] {1, 2, 3}));
        CommandBatch batch =
                new CommandBatch(ENTRY, 5, 1, 0, List.of(new ReportFigures(4, histograms)));
        Command read =
                BatchCodec.decode("control@0", BatchCodec.encode(batch)).get().commands().get(0);
        assertArrayEquals(new byte[] {1, 2, 3}, ((ReportFigures) read).histograms().get("loan"));
    }

    @Property(seed = "21", tries = 2_000)
    void corruptRecordsGiveATypedErrorThatStatesThePlace(
            @ForAll int position, @ForAll byte replacement, @ForAll boolean cut) {
        byte[] record = BatchCodec.encode(new CommandBatch(ENTRY, 5, 1, 2, COMMANDS));
        int at = Math.floorMod(position, record.length);
        byte[] corrupt = cut ? Arrays.copyOf(record, at) : record.clone();
        if (!cut) {
            corrupt[at] = replacement;
        }
        BatchCodec.decode("control@42", corrupt)
                .peekLeft(error -> assertTrue(error.message().contains("control@42")));
        if (cut) {
            assertTrue(BatchCodec.decode("control@42", corrupt).isLeft());
        }
    }
}
