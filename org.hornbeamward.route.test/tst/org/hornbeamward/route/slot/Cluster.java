package org.hornbeamward.route.slot;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

/** Test fixture: a replicated state to which commands of any member are applied directly. */
public final class Cluster {
    /** The replicated state. */
    public final ClusterState mState = new ClusterState();

    /** Cap of a request's timeout in milliseconds. */
    public long mRequestTimeoutMillis = 1_000;

    private final Map<InstanceId, Long> mIncarnations = new HashMap<>();
    private final Map<InstanceId, Long> mSequences = new HashMap<>();
    private long mNextIncarnation = 1;

    /** Adds a member with a new incarnation. */
    public InstanceId join(String name) {
        InstanceId id = new InstanceId(name);
        mIncarnations.put(id, mNextIncarnation++);
        mSequences.put(id, 0L);
        append(
                id,
                new JoinMember(
                        id,
                        mIncarnations.getOrDefault(id, 0L),
                        new FailureDomainId("fd-" + name),
                        new RegionId("r"),
                        "h:1",
                        "h:2"));
        return id;
    }

    /** Applies one batch of commands of a member. */
    public List<CommandResult> append(InstanceId author, Command... commands) {
        long sequence = mSequences.merge(author, 1L, Long::sum);
        return mState.apply(
                mState.nextOffset(),
                new CommandBatch(
                        author,
                        mIncarnations.getOrDefault(author, 0L),
                        sequence,
                        0,
                        List.of(commands)));
    }

    /** Publishes configuration entries and fails if they are rejected. */
    public void configure(InstanceId author, SortedMap<String, String> entries) {
        CommandResult result =
                append(
                                author,
                                new PublishConfig(
                                        "c" + mState.nextOffset(),
                                        mState.config().version(),
                                        entries))
                        .get(0);
        if (!result.accepted()) {
            throw new IllegalArgumentException(String.valueOf(result.rejection()));
        }
    }

    /** Configures service loan with one endpoint (e0, e1 and so on) for each address. */
    public void configureLoan(InstanceId author, int slotCount, String... addresses) {
        SortedMap<String, String> entries = new TreeMap<>();
        entries.put("domain/d", "{\"region\":\"r\"}");
        entries.put(
                "service/loan",
                "{\"agreedPeriodMillis\":200,\"requestTimeoutMillis\":"
                        + mRequestTimeoutMillis
                        + ","
                        + "\"idempotentMethods\":[\"GET\"]}");
        for (int index = 0; index < addresses.length; index++) {
            entries.put("endpoint/e" + index, endpoint(addresses[index], slotCount));
        }
        configure(author, entries);
    }

    /** Returns the configuration entry of an endpoint of service loan. */
    public static String endpoint(String address, int slotCount) {
        return "{\"service\":\"loan\",\"failureDomain\":\"d\",\"address\":\""
                + address
                + "\",\"slotCount\":"
                + slotCount
                + ",\"connectionCount\":64}";
    }

    /** Removes a member. */
    public void remove(InstanceId author, InstanceId target) {
        append(author, new RemoveAbsentMember(target, mIncarnations.getOrDefault(target, 0L), 1));
    }

    /** Takes or gives back slots and returns by how many the slots held have changed. */
    public int change(InstanceId author, EndpointId endpoint, int delta, long waitedToken) {
        SortedMap<EndpointId, Integer> changes = new TreeMap<>(Map.of(endpoint, delta));
        int before = mState.slots().held(endpoint, author);
        append(author, new ChangeSlots(changes, waitedToken));
        return mState.slots().held(endpoint, author) - before;
    }
}
