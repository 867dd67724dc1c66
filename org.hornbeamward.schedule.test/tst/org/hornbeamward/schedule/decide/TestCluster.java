package org.hornbeamward.schedule.decide;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.policy.PlacementPolicy;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;

/**
 * A replicated state with 4-core workers in two failure domains, and a decider that receives the
 * result of every command.
 */
final class TestCluster {
    static final long SECOND_NANOS = 1_000_000_000L;

    final ClusterState mState = new ClusterState();
    final Decider mDecider;
    private final InstanceId mAuthor = new InstanceId("entry-1");
    private long mOffset;

    TestCluster(PlacementPolicy policy, int workerCount) {
        mDecider = new Decider(policy);
        FailureDomainId domain = new FailureDomainId("a");
        RegionId region = new RegionId("r");
        apply(new JoinMember(mAuthor, 1, domain, region, "", ""));
        TreeMap<String, String> entries = new TreeMap<>();
        String quota =
                "{\"weight\":1,\"quota\":{\"cpuMillicores\":100000,\"memoryMib\":100000,"
                        + "\"acceleratorCount\":0}}";
        entries.put("team/t", quota);
        entries.put("team/u", quota);
        apply(new PublishConfig("config", 0, entries));
        for (int i = 0; i < workerCount; i++) {
            apply(
                    new RegisterWorker(
                            new WorkerId("w" + i),
                            1,
                            new FailureDomainId(i % 2 == 0 ? "a" : "b"),
                            region,
                            "rack",
                            new Resources(4000, 8000, 0),
                            "",
                            0));
        }
    }

    List<CommandResult> apply(Command... commands) {
        return apply(List.of(commands));
    }

    List<CommandResult> apply(List<Command> commands) {
        if (commands.isEmpty()) {
            return List.of();
        }
        mOffset++;
        List<CommandResult> results =
                mState.apply(mOffset, new CommandBatch(mAuthor, 1, mOffset, 0, commands));
        results.forEach(mDecider::onResult);
        return results;
    }

    /** Calls the decider and applies its commands immediately. */
    List<CommandResult> decideAndApply(long seconds) {
        return apply(decide(seconds));
    }

    List<Command> decide(long seconds) {
        return mDecider.decide(mState, List.of(), seconds * SECOND_NANOS).commands();
    }

    void submit(String id, String team, JobKind kind, int count, long millicores, boolean urgent) {
        apply(
                new SubmitJob(
                        "submit-" + id,
                        new JobSpec(
                                new JobId(id),
                                new TeamId(team),
                                kind == JobKind.SERVICE ? "web" : "pack",
                                kind,
                                count,
                                new Resources(millicores, 100, 0),
                                urgent,
                                true,
                                60_000,
                                kind == JobKind.SERVICE ? 200 : 0)));
    }

    static <T extends Command> List<T> commandsOfType(
            List<? extends Command> commands, Class<T> type) {
        List<T> found = new ArrayList<>();
        for (Command command : commands) {
            if (type.isInstance(command)) {
                found.add(type.cast(command));
            }
        }
        return found;
    }
}
