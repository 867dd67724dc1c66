package org.hornbeamward.pgm.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.member.Roles;
import org.hornbeamward.schedule.worker.UsageSampleStore;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.transport.message.UsageReport;
import org.hornbeamward.transport.message.UsageSample;
import org.hornbeamward.transport.message.WorkerSamples;
import org.junit.jupiter.api.Test;

/** Guards against sending usage to every member, which costs nine times the traffic. */
class UsageForwarderTest {
    private static final WorkerId WORKER = new WorkerId("w1");
    private static final RegionId REGION = new RegionId("r");

    private final ClusterState mState = new ClusterState();

    @Test
    void usageGoesToTheDeciderOfTheWorkersRegionOnly() {
        for (long member = 1; member <= 3; member++) {
            apply(member, 1, join(member));
        }
        apply(1, 2, register());
        UsageSampleStore store = new UsageSampleStore();
        store.add(new WorkerSamples(WORKER, 7, 1, List.of(new UsageSample(5, 100, 100, 0, 100))));
        InstanceId decider = Roles.deciderOf(REGION, mState.members().all().values()).orElseThrow();
        UsageForwarder forwarder = new UsageForwarder();
        assertEquals(Set.of(decider), forwarder.take(store, mState).keySet());
        assertEquals(Set.of(), forwarder.take(store, mState).keySet());
        apply(4, 1, join(4));
        UsageReport again = forwarder.take(store, mState).values().iterator().next();
        assertEquals(1, again.workers().size());
    }

    private static JoinMember join(long member) {
        return new JoinMember(
                new InstanceId("entry-" + member),
                member,
                new FailureDomainId("d" + member),
                REGION,
                "a:1",
                "a:2");
    }

    private static RegisterWorker register() {
        return new RegisterWorker(
                WORKER,
                7,
                new FailureDomainId("d1"),
                REGION,
                "rack",
                new Resources(1_000, 1_000, 0),
                "a:3",
                0);
    }

    private void apply(long member, long sequence, Command command) {
        mState.apply(
                mState.nextOffset(),
                new CommandBatch(
                        new InstanceId("entry-" + member), member, sequence, 0, List.of(command)));
    }
}
