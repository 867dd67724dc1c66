package org.hornbeamward.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.LeaveMember;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.member.Roles;
import org.junit.jupiter.api.Test;

/**
 * Guards against worker commands issued in an earlier membership epoch: a supervisor that lost and
 * regained its role could end placements whose leases the supervisor in between had renewed.
 */
class WorkerEpochTest {
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final RegionId REGION = new RegionId("r");

    private final ClusterState mState = new ClusterState();
    private final Map<InstanceId, Long> mSequences = new HashMap<>();

    @Test
    void aCommandDecidedBeforeAChangeOfMembershipIsRefused() {
        join("entry-1", 1);
        assertTrue(apply("entry-1", 1, register(7, 0)));
        InstanceId supervisor = supervisor();
        long epoch = mState.members().epoch();
        join("entry-2", 2);
        apply("entry-2", 2, new LeaveMember());
        assertEquals(supervisor, supervisor());
        assertFalse(apply("entry-1", 1, new RemoveLostWorker(WORKER, 7, epoch)));
        assertFalse(apply("entry-1", 1, register(8, epoch)));
        assertTrue(apply("entry-1", 1, new RemoveLostWorker(WORKER, 7, mState.members().epoch())));
    }

    private InstanceId supervisor() {
        return Roles.supervisorOf(register(7, 0), mState.members().all().values()).orElseThrow();
    }

    private void join(String instance, long incarnation) {
        InstanceId id = new InstanceId(instance);
        mSequences.put(id, 0L);
        FailureDomainId domain = new FailureDomainId("d" + incarnation);
        apply(instance, incarnation, new JoinMember(id, incarnation, domain, REGION, "a:1", "a:2"));
    }

    private static RegisterWorker register(long incarnation, long epoch) {
        return new RegisterWorker(
                WORKER,
                incarnation,
                new FailureDomainId("d9"),
                REGION,
                "rack",
                new Resources(1_000, 1_000, 0),
                "a:3",
                epoch);
    }

    private boolean apply(String instance, long incarnation, Command command) {
        InstanceId id = new InstanceId(instance);
        long sequence = mSequences.merge(id, 1L, Long::sum);
        return mState.apply(
                        mState.nextOffset(),
                        new CommandBatch(id, incarnation, sequence, 0, List.of(command)))
                .get(0)
                .accepted();
    }
}
