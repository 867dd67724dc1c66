package org.hornbeamward.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.state.ClusterState;
import org.junit.jupiter.api.Test;

/**
 * Guards against promises to members that this member suspects, removals of members that are still
 * in contact, and activity on promises to an older incarnation.
 */
class MembershipMonitorTest {
    private static final InstanceId OWN = new InstanceId("own");
    private static final InstanceId OTHER = new InstanceId("other");
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final ClusterState mState = new ClusterState();
    private final MembershipMonitor mMonitor =
            new MembershipMonitor(OWN, 1, new FailureDomainId("d1"));

    MembershipMonitorTest() {
        join(OWN, 1, "d1");
        join(OTHER, 2, "d2");
        mMonitor.onMembers(mState.members(), 0);
    }

    private void join(InstanceId instance, long incarnation, String failureDomain) {
        JoinMember join =
                new JoinMember(
                        instance,
                        incarnation,
                        new FailureDomainId(failureDomain),
                        new RegionId("r"),
                        "a:1",
                        "a:2");
        mState.apply(
                mState.nextOffset(), new CommandBatch(instance, incarnation, 1, 0, List.of(join)));
    }

    @Test
    void aSuspectedMemberGetsNoPromiseUntilTrustIsInTheLog() {
        assertTrue(mMonitor.onPing(OTHER, 2, 0));
        assertEquals(List.of(new SuspectMember(OTHER, 2)), mMonitor.tick(4 * SECOND_NANOS));
        assertFalse(mMonitor.onPing(OTHER, 2, 5 * SECOND_NANOS));
        assertEquals(List.of(new TrustMember(OTHER, 2)), mMonitor.tick(5 * SECOND_NANOS));
        mMonitor.onMembers(mState.members(), 5 * SECOND_NANOS);
        assertFalse(mMonitor.onPing(OTHER, 2, 5 * SECOND_NANOS));
        mMonitor.onTrusted(OTHER, 2);
        assertTrue(mMonitor.onPing(OTHER, 2, 5 * SECOND_NANOS));
    }

    @Test
    void anAbsentMemberIsRemovedOnlyAfterItWasSilentAsLong() {
        mMonitor.onList(Set.of(OWN), 5, 0);
        mMonitor.onHeard(OTHER, 2, 10 * SECOND_NANOS);
        assertTrue(mMonitor.onList(Set.of(OWN), 6, 16 * SECOND_NANOS).isEmpty());
        assertEquals(
                List.of(new RemoveAbsentMember(OTHER, 2, 7)),
                mMonitor.onList(Set.of(OWN), 7, 26 * SECOND_NANOS));
        assertTrue(mMonitor.onList(Set.of(OWN), 8, 27 * SECOND_NANOS).isEmpty());
    }

    @Test
    void aPromiseOfAnOlderIncarnationIsIgnored() {
        mMonitor.onPong(OTHER, 1, 0, true, 0);
        assertFalse(mMonitor.active(SECOND_NANOS));
        mMonitor.onPong(OTHER, 2, 0, true, 0);
        assertTrue(mMonitor.active(SECOND_NANOS));
        assertFalse(mMonitor.active(MembershipMonitor.PROMISE_NANOS));
    }
}
