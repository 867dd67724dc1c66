package org.hornbeamward.codec;

import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.EndTask;
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

/** Decodes commands encoded by {@link CommandWriter}. */
final class CommandReader {
    private CommandReader() {}

    static Command read(Reader in) {
        int fieldCount = in.array();
        int tag = in.int32();
        if (fieldCount != fieldCountOf(tag)) {
            throw in.malformed("command " + tag + " with " + fieldCount + " fields");
        }
        return switch (tag) {
            case 1 ->
                    new JoinMember(
                            in.instance(),
                            in.integer(),
                            in.failureDomain(),
                            in.region(),
                            in.text(),
                            in.text());
            case 2 -> new LeaveMember();
            case 3 -> new SuspectMember(in.instance(), in.integer());
            case 4 -> new TrustMember(in.instance(), in.integer());
            case 5 -> new RemoveAbsentMember(in.instance(), in.integer(), in.integer());
            case 6 -> new RenewMember(in.integer(), in.int32());
            case 7 -> new PublishConfig(in.text(), in.integer(), readTexts(in));
            case 8 ->
                    new TakeOutDomain(
                            in.text(), in.failureDomain(), in.integer(), in.integer(), in.bool());
            case 9 -> new BringBackDomain(in.text(), in.failureDomain(), in.integer());
            case 10 -> new SubmitJob(in.text(), JobSpecCodec.read(in));
            case 11 -> new CancelJob(in.text(), in.job());
            case 12 -> new RejectJob(in.job(), in.text());
            case 13 -> new PlaceTask(in.task(), in.worker(), in.integer());
            case 14 -> new StopTask(in.task(), in.integer(), in.constant(StopReason.values()));
            case 15 -> new RecordCheckpoint(in.task(), in.integer(), in.integer());
            case 16 ->
                    new EndTask(
                            in.task(),
                            in.integer(),
                            in.constant(TaskOutcome.values()),
                            in.integer());
            case 17 ->
                    new RegisterWorker(
                            in.worker(),
                            in.integer(),
                            in.failureDomain(),
                            in.region(),
                            in.text(),
                            in.resources(),
                            in.text(),
                            in.integer());
            case 18 -> new RemoveLostWorker(in.worker(), in.integer(), in.integer());
            case 19 -> new ReleaseWorker(in.text(), in.worker());
            case 20 -> new ChangeSlots(readSlotChanges(in), in.integer());
            case 21 -> new ReportFigures(in.integer(), readHistograms(in));
            default -> throw in.malformed("command " + tag + " is unknown");
        };
    }

    private static int fieldCountOf(int tag) {
        return tag < 1 || tag >= FIELD_COUNTS.length ? 0 : FIELD_COUNTS[tag];
    }

    /** Number of array elements of a command by tag, including the tag; index 0 is unused. */
    private static final int[] FIELD_COUNTS = {
        0, 7, 1, 3, 3, 4, 3, 4, 6, 4, 3, 3, 3, 5, 5, 5, 6, 11, 4, 3, 3, 3
    };

    private static SortedMap<String, String> readTexts(Reader in) {
        return readMap(in, in::text, in::text);
    }

    private static SortedMap<EndpointId, Integer> readSlotChanges(Reader in) {
        return readMap(in, in::endpoint, in::int32);
    }

    private static SortedMap<String, byte[]> readHistograms(Reader in) {
        return readMap(in, in::text, in::bytes);
    }

    private static <K extends Comparable<K>, V> SortedMap<K, V> readMap(
            Reader in, Supplier<K> key, Supplier<V> value) {
        int size = in.array() / 2;
        SortedMap<K, V> map = new TreeMap<>();
        for (int index = 0; index < size; index++) {
            map.put(key.get(), value.get());
        }
        return map;
    }
}
