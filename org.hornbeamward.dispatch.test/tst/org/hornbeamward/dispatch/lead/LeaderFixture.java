package org.hornbeamward.dispatch.lead;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.account.AccountDirectory;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.PoolConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.FakeWorkers;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.job.Cancellation;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.JobSpec;
import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.Resources;

/** Test fixture: a store, two workers and dispatchers on a virtual clock. */
final class LeaderFixture implements Documents {
    /** Key of an entry whose decoding fails unexpectedly. */
    static final String ODD_WORKER = "odd";

    /** First byte of a record that names one of the odd entries. */
    private static final byte ODD_ENTRY = 0;

    final VirtualLoop mLoop = new VirtualLoop();
    final FakeStore mStore = new FakeStore(mLoop);
    final FakeWorkers mWorkers = new FakeWorkers(mLoop);
    final NodeMetrics mMetrics = new NodeMetrics();
    final Map<JobId, JobPhase> mPhases = new HashMap<>();

    /** Client accounts of the configuration that dispatchers start with. */
    AccountDirectory mAccounts = AccountDirectory.NONE;

    private final List<WorkerEntry> mOddEntries = new ArrayList<>();

    LeaderFixture() {
        mWorkers.add("w1", 4_000);
        mWorkers.add("w2", 4_000);
        registerWorker("w1");
        registerWorker("w2");
    }

    void registerWorker(String worker) {
        mStore.records(Topic.WORKERS)
                .add(new KeyedRecord(worker, worker.getBytes(StandardCharsets.UTF_8)));
    }

    /** Adds an entry that another writer has written under the id of a worker. */
    void registerOddEntry(WorkerEntry entry) {
        mOddEntries.add(entry);
        byte[] value = {ODD_ENTRY, (byte) (mOddEntries.size() - 1)};
        mStore.records(Topic.WORKERS).add(new KeyedRecord(entry.id().value(), value));
    }

    /** Adds an entry before those of the workers whose decoding fails unexpectedly. */
    void addOddWorkerEntryBeforeAll() {
        mStore.records(Topic.WORKERS).add(0, new KeyedRecord(ODD_WORKER, new byte[] {1}));
    }

    Dispatcher startDispatcher(long epoch) {
        return startDispatcher(epoch, new FormerLeader.Unknown());
    }

    Dispatcher startDispatcher(long epoch, FormerLeader former) {
        Dispatcher dispatcher =
                new Dispatcher(
                        mLoop,
                        mStore,
                        mWorkers,
                        this,
                        new StatusListener() {
                            @Override
                            public void phaseChanged(Submission submission, JobPhase phase) {
                                mPhases.put(submission.job(), phase);
                            }

                            @Override
                            public void jobRemoved(JobId job) {
                                mPhases.remove(job);
                            }

                            @Override
                            public void allPhasesReported() {}
                        },
                        new DispatchLimits(
                                mWorkers.get("w1").longestLeaseMillis, 200, 120_000, 1.0, 1_000),
                        mMetrics,
                        epoch,
                        former,
                        reason -> {});
        dispatcher.configure(config());
        dispatcher.start();
        return dispatcher;
    }

    /** Returns a configuration with one queue, one pool and the accounts. */
    ClusterConfig config() {
        return ClusterConfig.of(
                1,
                List.of(
                        new QueueConfig(
                                "queue", "host", "/q/", "pool", 0, 3, 2.0, 250, false, false, 0)),
                List.of(new PoolConfig("pool", true, false)),
                mAccounts,
                1_000);
    }

    static StepSpec step(int taskCount, long cpuMillicores, Integer... dependencies) {
        return step(taskCount, cpuMillicores, false, false, dependencies);
    }

    static StepSpec longRunning(int taskCount, long cpuMillicores) {
        return step(taskCount, cpuMillicores, false, true);
    }

    static StepSpec gang(int taskCount, long cpuMillicores) {
        return step(taskCount, cpuMillicores, true, false);
    }

    private static StepSpec step(
            int taskCount,
            long cpuMillicores,
            boolean gang,
            boolean longRunning,
            Integer... dependencies) {
        return new StepSpec(
                taskCount,
                new Resources(cpuMillicores, 100, 0),
                500,
                List.of(dependencies),
                gang,
                gang,
                false,
                "",
                "",
                0,
                false,
                longRunning,
                "",
                0,
                false,
                0);
    }

    JobId submit(String id, StepSpec... steps) {
        return submitAt(mLoop.wallMillis(), id, steps);
    }

    JobId submitAt(long acceptedWallMillis, String id, StepSpec... steps) {
        return submit(acceptedWallMillis, "", id, steps);
    }

    JobId submitFor(String account, String id, StepSpec... steps) {
        return submit(mLoop.wallMillis(), account, id, steps);
    }

    private JobId submit(long acceptedWallMillis, String account, String id, StepSpec... steps) {
        JobId job = new JobId(id);
        JobSpec spec = new JobSpec("payload", List.of(steps), 0, 0, 0);
        Submission submission = new Submission(job, "queue", account, acceptedWallMillis, spec);
        mStore.records(Topic.JOBS)
                .add(new KeyedRecord(JobKeys.submission(job), submission.encode()));
        return job;
    }

    void cancel(JobId job) {
        mStore.records(Topic.JOBS).add(new KeyedRecord(JobKeys.cancellation(job), new byte[] {1}));
    }

    void cancel(JobId job, String queue) {
        mStore.records(Topic.JOBS)
                .add(
                        new KeyedRecord(
                                JobKeys.cancellation(job), new Cancellation(queue, "").encode()));
    }

    int startedCount() {
        return mWorkers.get("w1").started.size() + mWorkers.get("w2").started.size();
    }

    int runningCount() {
        return mWorkers.get("w1").running().size() + mWorkers.get("w2").running().size();
    }

    @Override
    public Either<String, OperatorDocument> decodeOperatorRecord(String key, byte[] value) {
        return Either.left("the fixture has no operator documents");
    }

    @Override
    public Either<String, WorkerEntry> decodeWorkerEntry(String key, byte[] value) {
        if (key.equals(ODD_WORKER)) {
            throw new StackOverflowError("the entry is nested too deeply");
        }
        return Either.right(
                value[0] == ODD_ENTRY ? mOddEntries.get(value[1]) : mWorkers.get(key).entry());
    }
}
