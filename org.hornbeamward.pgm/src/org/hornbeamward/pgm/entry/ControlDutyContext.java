package org.hornbeamward.pgm.entry;

import io.netty.channel.EventLoopGroup;
import java.util.SortedMap;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.route.claim.AtMostOnceExecutor;
import org.hornbeamward.route.front.FrontHandler;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.link.LinkCounters;

/**
 * The collaborators of the control duty.
 *
 * @param joinTemplate this instance, its location and its addresses; the incarnation is not used
 * @param clock the monotonic clock
 * @param ring ring buffer of events for the control duty
 * @param loops event loops of the links
 * @param counters traffic counters of all links
 * @param appenders duty that runs the appender of the current incarnation
 * @param slotUse use of this member's slots
 * @param front the HTTP front
 * @param claims executor of non-idempotent requests
 * @param answers queries between members about claimed requests
 * @param latency recorder of request latencies for the review
 * @param workerAddresses addresses of workers from the settings
 * @param reload requests that another thread load the state again
 */
record ControlDutyContext(
        JoinMember joinTemplate,
        MonotonicClock clock,
        ControlRing ring,
        EventLoopGroup loops,
        LinkCounters counters,
        AppenderDuty appenders,
        SlotUse slotUse,
        FrontHandler front,
        AtMostOnceExecutor claims,
        AnswerQueries answers,
        LatencyRecorder latency,
        SortedMap<WorkerId, String> workerAddresses,
        Runnable reload) {}
