package org.hornbeamward.codec;

import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.IdentifiedCommand;
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
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.command.TrustMember;

/** Encodes commands. The tags are part of the record format and never change. */
final class CommandWriter {
    private CommandWriter() {}

    static void write(Writer out, Command anyCommand) {
        switch (anyCommand) {
            case IdentifiedCommand command -> writeIdentified(out, command);
            case JoinMember command ->
                    header(out, 1, 7)
                            .text(command.instance())
                            .integer(command.incarnation())
                            .text(command.failureDomain())
                            .text(command.region())
                            .text(command.peerAddress())
                            .text(command.adminAddress());
            case LeaveMember command -> header(out, 2, 1);
            case SuspectMember command ->
                    header(out, 3, 3).text(command.target()).integer(command.targetIncarnation());
            case TrustMember command ->
                    header(out, 4, 3).text(command.target()).integer(command.targetIncarnation());
            case RemoveAbsentMember command ->
                    header(out, 5, 4)
                            .text(command.target())
                            .integer(command.targetIncarnation())
                            .integer(command.listVersion());
            case RenewMember command ->
                    header(out, 6, 3)
                            .integer(command.configVersion())
                            .integer(command.demandSlotCount());
            case RejectJob command -> header(out, 12, 3).text(command.job()).text(command.reason());
            case PlaceTask command ->
                    header(out, 13, 5)
                            .task(command.task())
                            .text(command.worker())
                            .integer(command.workerIncarnation());
            case StopTask command ->
                    header(out, 14, 5)
                            .task(command.task())
                            .integer(command.token())
                            .integer(command.reason().ordinal());
            case RecordCheckpoint command ->
                    header(out, 15, 5)
                            .task(command.task())
                            .integer(command.token())
                            .integer(command.checkpoint());
            case EndTask command ->
                    header(out, 16, 6)
                            .task(command.task())
                            .integer(command.token())
                            .integer(command.outcome().ordinal())
                            .integer(command.checkpoint());
            case RegisterWorker command ->
                    header(out, 17, 11)
                            .text(command.worker())
                            .integer(command.incarnation())
                            .text(command.failureDomain())
                            .text(command.region())
                            .text(command.rack())
                            .resources(command.capacity())
                            .text(command.address())
                            .integer(command.membershipEpoch());
            case RemoveLostWorker command ->
                    header(out, 18, 4)
                            .text(command.worker())
                            .integer(command.incarnation())
                            .integer(command.membershipEpoch());
            case ChangeSlots command ->
                    header(out, 20, 3)
                            .map(
                                    command.changes(),
                                    entry -> out.text(entry.getKey()).integer(entry.getValue()))
                            .integer(command.waitedToken());
            case ReportFigures command ->
                    header(out, 21, 3)
                            .integer(command.sequence())
                            .map(
                                    command.histograms(),
                                    entry -> out.text(entry.getKey()).bytes(entry.getValue()));
        }
    }

    private static void writeIdentified(Writer out, IdentifiedCommand anyCommand) {
        switch (anyCommand) {
            case PublishConfig command ->
                    header(out, 7, 4)
                            .text(command.commandId())
                            .integer(command.baseVersion())
                            .map(
                                    command.changedEntries(),
                                    entry -> out.text(entry.getKey()).text(entry.getValue()));
            case TakeOutDomain command ->
                    header(out, 8, 6)
                            .text(command.commandId())
                            .text(command.failureDomain())
                            .integer(command.baseVersion())
                            .integer(command.noticeMillis())
                            .bool(command.lost());
            case BringBackDomain command ->
                    header(out, 9, 4)
                            .text(command.commandId())
                            .text(command.failureDomain())
                            .integer(command.baseVersion());
            case SubmitJob command -> {
                header(out, 10, 3).text(command.commandId());
                JobSpecCodec.write(out, command.job());
            }
            case CancelJob command ->
                    header(out, 11, 3).text(command.commandId()).text(command.job());
            case ReleaseWorker command ->
                    header(out, 19, 3).text(command.commandId()).text(command.worker());
        }
    }

    private static Writer header(Writer out, int tag, int fieldCount) {
        return out.array(fieldCount).integer(tag);
    }
}
