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
 * What the control duty works with.
 *
 * @param place where this instance is; its incarnation is not used
 * @param clock the monotonic clock
 * @param ring events for the control duty
 * @param loops threads of the links
 * @param counters traffic of all links
 * @param appenders runs the appender of the current incarnation
 * @param slotUse this member's slots
 * @param front the HTTP front
 * @param claims claims of non-idempotent requests
 * @param answers questions about claims between members
 * @param latency latencies for the review
 * @param workerAddresses addresses of workers from the settings
 * @param reload loads the state again, on another thread
 */
record EntryParts(
        JoinMember place,
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
