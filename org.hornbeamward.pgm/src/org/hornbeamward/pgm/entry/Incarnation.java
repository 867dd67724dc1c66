package org.hornbeamward.pgm.entry;

import java.security.SecureRandom;
import java.util.List;
import org.hornbeamward.codec.BatchCodec;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.lib.MonotonicClock;
import org.hornbeamward.member.MembershipMonitor;
import org.hornbeamward.storage.log.BatchAppender;
import org.hornbeamward.storage.log.LogClient;

/**
 * One incarnation of this entry instance as a member: its number, its appender and its view of the
 * other members. A member that was removed joins again as a new incarnation.
 */
final class Incarnation {
    static final String CONTROL_STREAM = "control";
    private static final int COMMAND_CAPACITY_COUNT = 16 * 1024;
    private static final long INITIAL_BACKOFF_MILLIS = 250;
    private static final long MAX_BACKOFF_MILLIS = 8_000;

    private final long mNumber;
    private final BatchAppender<Command> mAppender;
    private final MembershipMonitor mMonitor;
    private boolean mJoined;

    Incarnation(JoinMember joinTemplate, LogClient log, MonotonicClock clock) {
        SecureRandom random = new SecureRandom();
        mNumber = random.nextLong() >>> 16;
        InstanceId own = joinTemplate.instance();
        mMonitor = new MembershipMonitor(own, mNumber, joinTemplate.failureDomain());
        mAppender =
                new BatchAppender<>(
                        log,
                        CONTROL_STREAM,
                        COMMAND_CAPACITY_COUNT,
                        BatchAppender.MAX_GROUP_MILLIS,
                        (sequence, commands) -> encode(own, sequence, commands),
                        (command, error) -> LogEvent.RECORD_SKIPPED.log(error.message()),
                        new JitteredBackoff(random, INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS),
                        clock);
        offer(
                new JoinMember(
                        own,
                        mNumber,
                        joinTemplate.failureDomain(),
                        joinTemplate.region(),
                        joinTemplate.peerAddress(),
                        joinTemplate.adminAddress()));
    }

    private byte[] encode(InstanceId own, long sequence, List<Command> commands) {
        return BatchCodec.encode(
                new CommandBatch(own, mNumber, sequence, System.currentTimeMillis(), commands));
    }

    long number() {
        return mNumber;
    }

    BatchAppender<Command> appender() {
        return mAppender;
    }

    MembershipMonitor monitor() {
        return mMonitor;
    }

    /** Queues a command for appending. Returns false if the queue is full. */
    boolean offer(Command command) {
        return mAppender.offer(command).isRight();
    }

    /**
     * Updates whether this incarnation has joined. Returns true if it was a member and no longer
     * is.
     */
    boolean wasRemoved() {
        boolean removed = mJoined && !mMonitor.member();
        mJoined |= mMonitor.member();
        return removed;
    }
}
