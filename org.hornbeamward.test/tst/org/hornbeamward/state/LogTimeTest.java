package org.hornbeamward.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.junit.jupiter.api.Test;

/** Guards against one wrong wall clock that makes review figures count for another month. */
class LogTimeTest {
    private static final long NOW_MILLIS = 1_796_000_000_000L;
    private static final long YEAR_MILLIS = 365L * 24 * 3_600 * 1_000;

    private final ClusterState mState = new ClusterState();

    @Test
    void aMinorityOfWrongClocksDoesNotMoveTheLogTime() {
        for (int member = 0; member < 3; member++) {
            apply(member, 1, member == 1 ? NOW_MILLIS + YEAR_MILLIS : NOW_MILLIS, join(member));
        }
        apply(1, 2, NOW_MILLIS + 2 * YEAR_MILLIS, new RenewMember(0, 0));
        assertEquals(NOW_MILLIS, mState.logTimeMillis());
        apply(0, 2, NOW_MILLIS + 5_000, new RenewMember(0, 0));
        assertEquals(NOW_MILLIS + 5_000, mState.logTimeMillis());
    }

    private void apply(int member, long sequence, long wallMillis, Command command) {
        mState.apply(
                mState.nextOffset(),
                new CommandBatch(
                        new InstanceId("entry-" + member),
                        member,
                        sequence,
                        wallMillis,
                        List.of(command)));
    }

    private static JoinMember join(int member) {
        return new JoinMember(
                new InstanceId("entry-" + member),
                member,
                new FailureDomainId("d" + member),
                new RegionId("r"),
                "a:1",
                "a:2");
    }
}
