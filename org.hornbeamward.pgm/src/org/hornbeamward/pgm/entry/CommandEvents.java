package org.hornbeamward.pgm.entry;

import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RejectJob;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;

/** Writes the log events of accepted commands. */
final class CommandEvents {
    private CommandEvents() {}

    static void log(CommandResult result, ClusterState state) {
        if (!result.accepted()) {
            return;
        }
        switch (result.command()) {
            case PublishConfig publish -> LogEvent.CONFIG_IN_FORCE.log(result.token());
            case TakeOutDomain takeOut -> logDomain(takeOut.failureDomain(), state);
            case BringBackDomain bringBack -> logDomain(bringBack.failureDomain(), state);
            case JoinMember join ->
                    LogEvent.MEMBER_JOINED.log(join.instance(), join.incarnation(), result.token());
            case RemoveLostWorker lose ->
                    LogEvent.WORKER_LOST.log(lose.worker(), lose.incarnation());
            case RejectJob reject -> LogEvent.JOB_REJECTED.log(reject.job(), reject.reason());
            default -> {}
        }
    }

    private static void logDomain(FailureDomainId failureDomain, ClusterState state) {
        LogEvent.DOMAIN_CHANGED.log(
                failureDomain,
                state.domains().status(failureDomain).inService(),
                state.domains().status(failureDomain).version());
    }
}
