package org.hornbeamward.bench.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RemoveAbsentMember;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;

/** Simulated cluster: the replicated state, the endpoints and the members on one virtual clock. */
final class VirtualCluster {
    static final int MEMBER_COUNT = 9;
    static final int ENDPOINT_COUNT = 30;
    static final int SLOT_COUNT = 8;
    static final long TIMEOUT_MILLIS = 1_000;
    private static final long AGREED_PERIOD_MILLIS = 250;
    private static final double NANOS_PER_MILLI = 1e6;

    private final VirtualTime mTime = new VirtualTime();
    private final ClusterState mState = new ClusterState();
    private final List<VirtualEndpoint> mEndpoints = new ArrayList<>();
    private final Map<InstanceId, Long> mSequences = new HashMap<>();
    private final Variant mVariant;
    private final Deployment mDeployment;
    private final Random mRandom;
    final List<VirtualMember> mMembers = new ArrayList<>();

    /**
     * Processing and network times of a deployment; the network distances are in design section
     * 1.6.
     */
    record Deployment(double medianMillis, double networkMillis) {
        static Deployment of(String name) {
            return switch (name) {
                case "imbaraga" -> new Deployment(30, 0.5);
                case "confirmare" -> new Deployment(45, 1);
                default ->
                        throw new IllegalArgumentException(
                                "unknown deployment " + name + "; use imbaraga or confirmare");
            };
        }
    }

    VirtualCluster(Variant variant, Deployment deployment, long seed) {
        mVariant = variant;
        mDeployment = deployment;
        mRandom = new Random(seed);
        SortedMap<String, String> entries = new TreeMap<>();
        entries.put("domain/d", "{\"region\":\"r\"}");
        entries.put(
                "service/" + VirtualMember.SERVICE,
                "{\"agreedPeriodMillis\":"
                        + AGREED_PERIOD_MILLIS
                        + ",\"requestTimeoutMillis\":"
                        + TIMEOUT_MILLIS
                        + ",\"idempotentMethods\":[\"GET\"]}");
        for (int index = 0; index < ENDPOINT_COUNT; index++) {
            entries.put(
                    "endpoint/e" + index,
                    "{\"service\":\"loan\",\"failureDomain\":\"d\",\"address\":\"e:"
                            + index
                            + "\",\"slotCount\":8,\"connectionCount\":64}");
            mEndpoints.add(
                    new VirtualEndpoint(
                            mTime,
                            new Random(mRandom.nextLong()),
                            deployment.medianMillis() * NANOS_PER_MILLI));
        }
        for (int index = 0; index < MEMBER_COUNT; index++) {
            VirtualMember member = join();
            if (index == 0) {
                append(member.id(), new PublishConfig("c", 0, entries));
            }
            if (!variant.planned()) {
                member.takeFixedShare(equalShare(index));
            }
        }
    }

    VirtualTime time() {
        return mTime;
    }

    ClusterState state() {
        return mState;
    }

    long networkNanos() {
        return (long) (mDeployment.networkMillis() * NANOS_PER_MILLI);
    }

    VirtualEndpoint endpoint(String address) {
        return mEndpoints.get(Integer.parseInt(address.substring(2)));
    }

    List<VirtualEndpoint> endpoints() {
        return mEndpoints;
    }

    /** Returns the request rate that keeps all slots in use. */
    double capacityPerSecond() {
        double serviceMillis =
                mDeployment.medianMillis() * VirtualEndpoint.meanFactor()
                        + 2 * mDeployment.networkMillis();
        return ENDPOINT_COUNT * SLOT_COUNT * 1_000 / serviceMillis;
    }

    VirtualMember join() {
        InstanceId id = new InstanceId("m" + mMembers.size());
        append(
                id,
                new JoinMember(
                        id,
                        incarnation(id),
                        new FailureDomainId("f" + mMembers.size() % 4),
                        new RegionId("r"),
                        "h:1",
                        "h:2"));
        VirtualMember member = new VirtualMember(this, mVariant, id, mRandom.nextLong());
        mMembers.add(member);
        return member;
    }

    void remove(VirtualMember member) {
        InstanceId author =
                mMembers.stream()
                        .filter(other -> !other.mDead && other != member)
                        .findFirst()
                        .map(VirtualMember::id)
                        .orElseThrow();
        append(author, new RemoveAbsentMember(member.id(), incarnation(member.id()), 1));
    }

    void append(InstanceId author, Command command) {
        long sequence = mSequences.merge(author, 1L, Long::sum);
        List<CommandResult> results =
                mState.apply(
                        mState.nextOffset(),
                        new CommandBatch(
                                author, incarnation(author), sequence, 0, List.of(command)));
        if (command instanceof PublishConfig && !results.get(0).accepted()) {
            throw new IllegalStateException(String.valueOf(results.get(0).rejection()));
        }
    }

    private static long incarnation(InstanceId id) {
        return 1 + Long.parseLong(id.value().substring(1));
    }

    private static ChangeSlots equalShare(int member) {
        SortedMap<EndpointId, Integer> share = new TreeMap<>();
        for (int slot = 0; slot < ENDPOINT_COUNT * SLOT_COUNT; slot++) {
            if (slot % MEMBER_COUNT == member) {
                share.merge(new EndpointId("e" + slot / SLOT_COUNT), 1, Integer::sum);
            }
        }
        return new ChangeSlots(share, 0);
    }
}
