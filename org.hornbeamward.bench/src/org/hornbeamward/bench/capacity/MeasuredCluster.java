package org.hornbeamward.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.hornbeamward.command.Command;
import org.hornbeamward.command.CommandBatch;
import org.hornbeamward.command.EndTask;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TaskOutcome;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.WorkerStatus;

/** Replicated state of a given size, built by applying commands as an entry process does. */
final class MeasuredCluster {
    /**
     * First offset, as in a log that is a year old, so that tokens have a realistic encoded length.
     */
    static final long FIRST_OFFSET = 3_000_000_000L;

    static final long WALL_MILLIS = 1_780_000_000_000L;
    private static final int MAX_COMMANDS = 500;

    /**
     * Number of service classes and of batch classes; an assumption, as the design gives no figure.
     */
    private static final int CLASS_COUNT = 12;

    private static final Resources WORKER = new Resources(32_000, 125_000, 0);
    private static final Resources SERVICE = new Resources(2_000, 8_000, 0);
    private static final Resources BATCH = new Resources(500, 1_500, 0);

    final ClusterState mState = new ClusterState();
    final List<InstanceId> mMembers = new ArrayList<>();
    private final SplittableRandom mRandom;
    private final ClusterSize mSize;
    private final int mClassCount;
    private long mOffset = FIRST_OFFSET;
    private final List<Long> mSequences = new ArrayList<>();
    private int mJobCount;
    private int mPlacedCount;

    MeasuredCluster(ClusterSize size, long seed) {
        this(size, seed, CLASS_COUNT);
    }

    /** Creates a cluster with a number of service classes and the same number of batch classes. */
    MeasuredCluster(ClusterSize size, long seed, int classCount) {
        mClassCount = classCount;
        mSize = size;
        mRandom = new SplittableRandom(seed);
        joinMembers();
        configure();
        registerWorkers();
        int endedPerBatch = 10;
        for (int left = size.endedJobCount(); left > 0; left -= endedPerBatch) {
            end(placeJobs(JobKind.BATCH, Math.min(left, endedPerBatch) * perJob(JobKind.BATCH)));
        }
        placeJobs(JobKind.SERVICE, size.serviceTaskCount());
        placeJobs(JobKind.BATCH, size.batchTaskCount());
    }

    static long incarnation(int number) {
        // Incarnations are random in production; most take 9 bytes when encoded.
        return 0x4000_0000_0000_0000L + number;
    }

    static InstanceId instance(int number) {
        return new InstanceId("kigali-" + number % ClusterSize.DOMAIN_COUNT + "-entry-" + number);
    }

    static WorkerId worker(int number) {
        return new WorkerId(String.format("kigali-%d-worker-%03d", domain(number), number));
    }

    private static int domain(int number) {
        return number % ClusterSize.DOMAIN_COUNT;
    }

    /** Applies commands in one record by the first member. */
    List<CommandResult> apply(List<? extends Command> commands) {
        return apply(0, commands);
    }

    List<CommandResult> apply(int member, List<? extends Command> commands) {
        return mState.apply(mOffset++, batch(member, commands));
    }

    /** Creates the next record of a member. It must be applied before the next one is created. */
    CommandBatch batch(int member, List<? extends Command> commands) {
        long sequence = mSequences.get(member) + 1;
        mSequences.set(member, sequence);
        return new CommandBatch(
                mMembers.get(member),
                incarnation(member),
                sequence,
                WALL_MILLIS,
                new ArrayList<>(commands));
    }

    long takeOffset() {
        return mOffset++;
    }

    private void applyAccepted(List<? extends Command> commands) {
        for (CommandResult result : apply(commands)) {
            if (!result.accepted()) {
                throw new IllegalStateException("rejected: " + result);
            }
        }
    }

    private void joinMembers() {
        for (int i = 0; i < mSize.memberCount(); i++) {
            mMembers.add(instance(i));
            mSequences.add(0L);
            apply(
                    i,
                    List.of(
                            new JoinMember(
                                    instance(i),
                                    incarnation(i),
                                    new FailureDomainId("kigali-" + domain(i)),
                                    region(i),
                                    "10.1.0." + i + ":7401",
                                    "10.1.0." + i + ":7402")));
        }
    }

    private static RegionId region(int number) {
        return new RegionId("region-" + domain(number) % ClusterSize.REGION_COUNT);
    }

    private void configure() {
        TreeMap<String, String> entries = new TreeMap<>();
        for (int i = 0; i < ClusterSize.TEAM_COUNT; i++) {
            entries.put("team/" + team(i), teamEntry(1 + i % 3));
        }
        for (int i = 0; i < ClusterSize.DOMAIN_COUNT; i++) {
            entries.put("domain/kigali-" + i, "{\"region\":\"" + region(i) + "\"}");
        }
        for (int i = 0; i < Math.max(1, mSize.endpointCount() / 6); i++) {
            entries.put(
                    "service/loan-" + i,
                    "{\"agreedPeriodMillis\":400,\"requestTimeoutMillis\":3000,"
                            + "\"idempotentMethods\":[\"GET\",\"HEAD\"]}");
        }
        for (int i = 0; i < mSize.endpointCount(); i++) {
            entries.put(
                    String.format("endpoint/front-%03d", i),
                    String.format(
                            "{\"service\":\"loan-%d\",\"failureDomain\":\"kigali-%d\",\"address\":"
                                    + "\"10.2.0.%d:8080\",\"slotCount\":8,\"connectionCount\":64}",
                            i / 6 % Math.max(1, mSize.endpointCount() / 6), domain(i), i));
        }
        applyAccepted(List.of(new PublishConfig("config-0", 0, entries)));
    }

    static String teamEntry(int weight) {
        return "{\"weight\":"
                + weight
                + ".0,\"quota\":{\"cpuMillicores\":50000000,\"memoryMib\":200000000,"
                + "\"acceleratorCount\":850}}";
    }

    static TeamId team(int number) {
        return new TeamId("team-" + number % ClusterSize.TEAM_COUNT);
    }

    private void registerWorkers() {
        for (int i = 0; i < mSize.workerCount(); i++) {
            int accelerators = Math.max(0, Math.min(8, ClusterSize.ACCELERATOR_COUNT - 8 * i));
            applyAccepted(
                    List.of(
                            new RegisterWorker(
                                    worker(i),
                                    incarnation(i),
                                    new FailureDomainId("kigali-" + domain(i)),
                                    region(i),
                                    "rack-" + i / 60,
                                    WORKER.plus(new Resources(0, 0, accelerators)),
                                    "10.3." + i / 200 + "." + i % 200 + ":7500",
                                    mState.members().epoch())));
        }
    }

    private static int perJob(JobKind kind) {
        return kind == JobKind.BATCH
                ? ClusterSize.TASKS_PER_BATCH_JOB
                : ClusterSize.TASKS_PER_SERVICE;
    }

    /** Creates a job with a realistic name and class. */
    JobSpec job(JobKind kind, int taskCount) {
        int number = mJobCount++;
        boolean batch = kind == JobKind.BATCH;
        return new JobSpec(
                new JobId(String.format("letters-%06d", number)),
                team(mRandom.nextInt(ClusterSize.TEAM_COUNT)),
                (batch ? "pack-" : "loan-") + number % mClassCount,
                kind,
                taskCount,
                batch ? BATCH : SERVICE,
                false,
                batch,
                batch ? 600_000 : 0,
                batch ? 0 : 400);
    }

    static SubmitJob submit(JobSpec spec) {
        // Command ids are UUIDs.
        return new SubmitJob("7f3c1f52-8a5e-4c1b-9d51-" + spec.id().value().substring(2), spec);
    }

    /** Submits jobs and places all their tasks on the workers in turn. */
    List<TaskId> placeJobs(JobKind kind, int taskCount) {
        List<TaskId> placed = new ArrayList<>();
        List<Command> places = new ArrayList<>();
        for (int left = taskCount; left > 0; left -= perJob(kind)) {
            JobSpec spec = job(kind, Math.min(left, perJob(kind)));
            applyAccepted(List.of(submit(spec)));
            for (int index = 0; index < spec.taskCount(); index++) {
                TaskId task = new TaskId(spec.id(), index);
                places.add(placeNext(task));
                placed.add(task);
            }
            if (places.size() > MAX_COMMANDS) {
                applyAccepted(places);
                places.clear();
            }
        }
        if (!places.isEmpty()) {
            applyAccepted(places);
        }
        return placed;
    }

    PlaceTask placeNext(TaskId task) {
        int number = mPlacedCount++ % mSize.workerCount();
        return new PlaceTask(task, worker(number), incarnation(number));
    }

    WorkerStatus workerStatus(WorkerId id) {
        return Objects.requireNonNull(mState.work().workers().get(id));
    }

    JobSpec specOf(TaskId task) {
        return Objects.requireNonNull(mState.work().jobs().get(task.job())).spec();
    }

    EndTask endOf(TaskId task) {
        long token =
                switch (mState.work().task(task).orElseThrow().state()) {
                    case TaskState.Placed placed -> placed.token();
                    default -> throw new IllegalStateException(task + " is not placed");
                };
        return new EndTask(task, token, TaskOutcome.FINISHED, 600);
    }

    void end(List<TaskId> tasks) {
        applyAccepted(tasks.stream().map(this::endOf).toList());
    }
}
