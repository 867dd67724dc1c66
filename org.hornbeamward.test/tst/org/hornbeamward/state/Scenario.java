package org.hornbeamward.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.TreeMap;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RecordCheckpoint;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.RemoveLostWorker;
import org.hornbeamward.command.StopReason;
import org.hornbeamward.command.StopTask;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.SuspectMember;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.command.TrustMember;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/** Translates steps into log records of three members and applies them to a state. */
final class Scenario {
    static final EndpointId ENDPOINT = new EndpointId("front-1");
    static final int SLOT_COUNT = 8;
    private static final int WORKER_COUNT = 5;
    private static final int JOB_COUNT = 4;

    final List<CommandResult> mResults = new ArrayList<>();
    ClusterState mState = new ClusterState();
    private final long[] mIncarnations = new long[3];
    private final long[] mSequences = new long[3];
    private final List<Long> mTokens = new ArrayList<>(List.of(1L));
    private @Nullable CommandBatch mLastBatch;
    private long mOffset;
    private long mNextId = 100;

    Scenario() {
        for (int author = 0; author < 3; author++) {
            rejoin(author);
        }
        append(0, new PublishConfig("config-0", 0, baseConfig()));
        for (int worker = 0; worker < WORKER_COUNT; worker++) {
            append(0, registration(worker));
        }
        for (int job = 0; job < JOB_COUNT; job++) {
            append(0, submission(job));
        }
    }

    void apply(Step step) {
        switch (step.action()) {
            case PLACE -> append(step.author(), place(step, incarnationOf(step.secondChoice())));
            case PLACE_STALE -> append(step.author(), place(step, 1));
            case STOP ->
                    append(
                            step.author(),
                            new StopTask(
                                    task(step.firstChoice()),
                                    tokenOf(step.firstChoice()),
                                    StopReason.PREEMPTED));
            case END -> append(step.author(), end(step, tokenOf(step.firstChoice())));
            case END_STALE ->
                    append(
                            step.author(),
                            end(step, mTokens.get(step.secondChoice() % mTokens.size())));
            case CHECKPOINT ->
                    append(
                            step.author(),
                            new RecordCheckpoint(
                                    task(step.firstChoice()),
                                    tokenOf(step.firstChoice()),
                                    step.secondChoice()));
            case CANCEL ->
                    append(step.author(), new CancelJob(newId(), task(step.firstChoice()).job()));
            case SUBMIT -> append(step.author(), submission(JOB_COUNT + step.firstChoice()));
            case RESTART_WORKER -> append(step.author(), registration(step.firstChoice()));
            case LOSE_WORKER ->
                    append(
                            step.author(),
                            new RemoveLostWorker(
                                    worker(step.firstChoice()),
                                    incarnationOf(step.firstChoice()),
                                    mState.members().epoch()));
            case TAKE_OUT -> append(step.author(), takeOut(step));
            case BRING_BACK ->
                    append(
                            step.author(),
                            new BringBackDomain(
                                    newId(), domain(step.firstChoice()), domainVersion(step)));
            case PUBLISH -> append(step.author(), publication(step));
            case TAKE_SLOTS -> append(step.author(), slotChange(1 + step.firstChoice() % 6, step));
            case GIVE_SLOTS -> append(step.author(), slotChange(-1 - step.firstChoice() % 6, step));
            case SUSPECT -> {
                int target = (step.author() + 1 + step.firstChoice() % 2) % 3;
                append(step.author(), new SuspectMember(instance(target), mIncarnations[target]));
            }
            case TRUST -> {
                int target = (step.author() + 1 + step.firstChoice() % 2) % 3;
                append(step.author(), new TrustMember(instance(target), mIncarnations[target]));
            }
            case REJOIN -> rejoin(step.author());
            case REPEAT_RECORD ->
                    mResults.addAll(mState.apply(mOffset++, Objects.requireNonNull(mLastBatch)));
            case RESTORE_SNAPSHOT -> restore();
        }
    }

    /** Replaces the state by a copy decoded from its snapshot. */
    void restore() {
        mState = StateSnapshot.decode("test", StateSnapshot.encode(mState)).get();
    }

    private void append(int author, Command command) {
        long sequence = ++mSequences[author];
        mLastBatch =
                new CommandBatch(
                        instance(author),
                        mIncarnations[author],
                        sequence,
                        1_000_000 + mOffset,
                        List.of(command));
        List<CommandResult> results = mState.apply(mOffset++, mLastBatch);
        mResults.addAll(results);
        if (command instanceof PlaceTask) {
            results.stream()
                    .filter(CommandResult::accepted)
                    .forEach(result -> mTokens.add(result.token()));
        }
    }

    private void rejoin(int author) {
        mIncarnations[author] = mNextId++;
        mSequences[author] = 0;
        append(
                author,
                new JoinMember(
                        instance(author),
                        mIncarnations[author],
                        domain(author),
                        new RegionId("r"),
                        "127.0.0.1:1",
                        "127.0.0.1:2"));
    }

    private PlaceTask place(Step step, long incarnation) {
        return new PlaceTask(task(step.firstChoice()), worker(step.secondChoice()), incarnation);
    }

    private EndTask end(Step step, long token) {
        TaskOutcome[] outcomes = TaskOutcome.values();
        return new EndTask(
                task(step.firstChoice()),
                token,
                outcomes[step.secondChoice() % outcomes.length],
                1);
    }

    private TakeOutDomain takeOut(Step step) {
        return new TakeOutDomain(
                newId(),
                domain(step.firstChoice()),
                domainVersion(step),
                1_000,
                step.secondChoice() % 5 == 0);
    }

    private long domainVersion(Step step) {
        long version = mState.domains().status(domain(step.firstChoice())).version();
        return step.secondChoice() % 4 == 0 ? version + 1 : version;
    }

    private PublishConfig publication(Step step) {
        long base = mState.config().version() - (step.secondChoice() % 3 == 0 ? 1 : 0);
        TreeMap<String, String> entries = new TreeMap<>();
        entries.put("team/b", teamJson(1 + step.firstChoice()));
        return new PublishConfig(newId(), base, entries);
    }

    private ChangeSlots slotChange(int count, Step step) {
        TreeMap<EndpointId, Integer> changes = new TreeMap<>();
        changes.put(ENDPOINT, count);
        return new ChangeSlots(
                changes, step.secondChoice() % 2 == 0 ? 0 : mState.slots().newestRemovalToken());
    }

    private RegisterWorker registration(int index) {
        return new RegisterWorker(
                worker(index),
                mNextId++,
                domain(index % WORKER_COUNT),
                new RegionId("r"),
                "rack",
                new Resources(4_000, 4_000, 1),
                "127.0.0.1:3",
                mState.members().epoch());
    }

    private SubmitJob submission(int index) {
        JobSpec spec =
                new JobSpec(
                        new JobId("job-" + index),
                        new TeamId(index % 2 == 0 ? "a" : "b"),
                        "class-" + index % 3,
                        index % 4 == 3 ? JobKind.SERVICE : JobKind.BATCH,
                        3,
                        new Resources(1_500, 1_200, index % 3 == 0 ? 1 : 0),
                        false,
                        true,
                        1_000,
                        0);
        return new SubmitJob(newId(), spec);
    }

    private static TreeMap<String, String> baseConfig() {
        TreeMap<String, String> entries = new TreeMap<>();
        entries.put("team/a", teamJson(100));
        entries.put("team/b", teamJson(9));
        entries.put(
                "service/loan",
                "{\"agreedPeriodMillis\":100,\"requestTimeoutMillis\":1000,"
                        + "\"idempotentMethods\":[\"GET\"]}");
        entries.put("domain/d0", "{\"region\":\"r\"}");
        entries.put(
                "endpoint/" + ENDPOINT,
                "{\"service\":\"loan\",\"failureDomain\":\"d0\","
                        + "\"address\":\"127.0.0.1:9\",\"slotCount\":8,"
                        + "\"connectionCount\":64}");
        return entries;
    }

    private static String teamJson(int quotaCores) {
        return "{\"weight\":1.0,\"quota\":{\"cpuMillicores\":"
                + quotaCores * 1_000
                + ",\"memoryMib\":100000,\"acceleratorCount\":10}}";
    }

    private long tokenOf(int choice) {
        TaskStatus status = mState.work().task(task(choice)).orElse(null);
        if (status == null) {
            return 1;
        }
        return switch (status.state()) {
            case TaskState.Placed placed -> placed.token();
            case TaskState.Stopping stopping -> stopping.token();
            case TaskState.Pending pending -> 1;
            case TaskState.Ended ended -> 1;
        };
    }

    private long incarnationOf(int choice) {
        WorkerStatus status = mState.work().workers().get(worker(choice));
        return status == null ? 1 : status.registration().incarnation();
    }

    private static TaskId task(int choice) {
        return new TaskId(new JobId("job-" + choice % 6), choice % 3);
    }

    private static WorkerId worker(int choice) {
        return new WorkerId("worker-" + choice % WORKER_COUNT);
    }

    static FailureDomainId domain(int choice) {
        return new FailureDomainId("d" + choice % 3);
    }

    private static InstanceId instance(int author) {
        return new InstanceId("entry-" + author);
    }

    private String newId() {
        return "id-" + mNextId++;
    }
}
