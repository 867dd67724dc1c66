package org.hornbeamward.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.worker.OutgoingMessage;
import org.hornbeamward.schedule.worker.WorkerSupervisor;
import org.hornbeamward.transport.message.Heartbeat;
import org.hornbeamward.transport.message.HeartbeatAck;
import org.hornbeamward.transport.message.Hello;
import org.hornbeamward.transport.message.Message;
import org.hornbeamward.transport.message.MessageCodec;
import org.hornbeamward.transport.message.PeerPing;
import org.hornbeamward.transport.message.PeerPong;
import org.hornbeamward.transport.message.RunningTask;
import org.hornbeamward.transport.message.UsageReport;
import org.hornbeamward.transport.message.UsageSample;
import org.hornbeamward.transport.message.WorkerMessage;
import org.hornbeamward.transport.message.WorkerStatus;

/**
 * Measures processor time and bytes of a supervisor that supervises all workers, in a cluster with
 * one member. Every worker runs the same number of tasks and reports changed usage for a share of
 * them.
 */
final class SuperviseMeasure {
    private static final int[] WORKER_COUNTS = {59, 177, 353, 530};
    private static final double[] TASK_SHARES = {0.25, 0.5, 1};
    private static final int FRAME_HEADER_BYTES = 4;
    private static final long TICK_NANOS = 20_000_000L;
    private static final int TICKS_PER_SECOND = 50;
    private static final int WARM_UP_SECONDS = 60;
    private static final int MEASURED_SECONDS = 60;
    private static final int USAGE_TICKS = 5 * TICKS_PER_SECOND;

    /** Share of the tasks whose usage has changed since the last heartbeat. */
    private static final double CHANGED_SHARE = 0.5;

    private final Report mReport;
    private final long mSeed;

    SuperviseMeasure(Report report, long seed) {
        mReport = report;
        mSeed = seed;
    }

    void run() {
        double[] x = new double[WORKER_COUNTS.length];
        double[][] y = new double[5][x.length];
        for (int i = 0; i < x.length; i++) {
            x[i] = WORKER_COUNTS[i];
            Run run = new Run(size(WORKER_COUNTS[i], 1), mSeed);
            run.runSeconds(WARM_UP_SECONDS);
            run.clearFigures();
            run.runSeconds(MEASURED_SECONDS);
            setColumn(y, i, run);
        }
        add("Worker", x, y);
        x = new double[TASK_SHARES.length];
        y = new double[5][x.length];
        for (int i = 0; i < x.length; i++) {
            ClusterSize size = size(WORKER_COUNTS[0], TASK_SHARES[i]);
            Run run = new Run(size, mSeed);
            run.runSeconds(WARM_UP_SECONDS);
            run.clearFigures();
            run.runSeconds(MEASURED_SECONDS);
            x[i] = size.taskCount();
            setColumn(y, i, run);
        }
        add("TaskOf59Workers", x, y);
        peers();
    }

    /** Returns a size with the same tasks per worker as the target, times a share. */
    private static ClusterSize size(int workerCount, double taskShare) {
        double share = taskShare * workerCount / ClusterSize.TARGET.workerCount();
        return ClusterSize.TARGET
                .withEndedJobs(0)
                .withMembers(1)
                .withTasks(share)
                .withWorkers(workerCount);
    }

    private static void setColumn(double[][] y, int i, Run run) {
        y[0][i] = run.mTickNanos / (double) MEASURED_SECONDS;
        y[1][i] = run.mMessageNanos / (double) MEASURED_SECONDS;
        y[2][i] = run.mSentBytes / (double) MEASURED_SECONDS;
        y[3][i] = run.mReceivedBytes / (double) MEASURED_SECONDS;
        y[4][i] = run.mUsageReportBytes / (double) MEASURED_SECONDS;
    }

    private void add(String unit, double[] x, double[][] y) {
        mReport.series("supervise.tickNanosPerSecond", unit, x, y[0]);
        mReport.series("supervise.messageNanosPerSecond", unit, x, y[1]);
        mReport.series("supervise.sentBytesPerSecond", unit, x, y[2]);
        mReport.series("supervise.receivedBytesPerSecond", unit, x, y[3]);
        mReport.series("supervise.usageReportBytesPerSecond", unit, x, y[4]);
    }

    private void peers() {
        InstanceId own = MeasuredCluster.instance(1);
        long incarnation = MeasuredCluster.incarnation(1);
        long offset = MeasuredCluster.FIRST_OFFSET;
        mReport.add("peer.pingBytes", size(new PeerPing(own, incarnation, 1L << 45, offset)));
        mReport.add("peer.pongBytes", size(new PeerPong(own, incarnation, 1L << 45, true, offset)));
    }

    private static int size(Message message) {
        return MessageCodec.encode(message).length + FRAME_HEADER_BYTES;
    }

    /** Supervisor with simulated workers that answer its messages. */
    private static final class Run {
        private final MeasuredCluster mCluster;
        private final WorkerSupervisor mSupervisor;
        private final SplittableRandom mRandom;
        private long mNowNanos = 1;
        private long mTick;
        long mTickNanos;
        long mMessageNanos;
        long mSentBytes;
        long mReceivedBytes;
        long mUsageReportBytes;

        Run(ClusterSize size, long seed) {
            mCluster = new MeasuredCluster(size, seed);
            mRandom = new SplittableRandom(seed);
            mSupervisor = new WorkerSupervisor(MeasuredCluster.instance(0));
            mSupervisor.onState(mCluster.mState, List.of(), mNowNanos);
            for (WorkerId worker : mCluster.mState.work().workers().keySet()) {
                mSupervisor.onLinkOpen(worker, mNowNanos);
                receive(worker, status(worker));
            }
        }

        void clearFigures() {
            mTickNanos = 0;
            mMessageNanos = 0;
            mSentBytes = 0;
            mReceivedBytes = 0;
            mUsageReportBytes = 0;
        }

        void runSeconds(int count) {
            for (int i = 0; i < count * TICKS_PER_SECOND; i++) {
                mTick++;
                mNowNanos += TICK_NANOS;
                mSupervisor.onLogEnd(mNowNanos);
                long before = Meter.cpuNanos();
                List<OutgoingMessage> messages = mSupervisor.tick(mNowNanos, true).messages();
                mTickNanos += Meter.cpuNanos() - before;
                messages.forEach(this::answer);
                if (mTick % USAGE_TICKS == 0) {
                    UsageReport report = mSupervisor.usage().takeChanged(false);
                    mUsageReportBytes += size(report);
                }
            }
        }

        private void answer(OutgoingMessage outgoing) {
            long before = Meter.cpuNanos();
            mSentBytes += size(outgoing.message());
            mMessageNanos += Meter.cpuNanos() - before;
            switch (outgoing.message()) {
                case Hello hello -> receive(outgoing.worker(), status(outgoing.worker()));
                case Heartbeat heartbeat -> receive(outgoing.worker(), ack(outgoing.worker()));
                default -> throw new IllegalStateException("unexpected " + outgoing);
            }
        }

        private void receive(WorkerId worker, WorkerMessage message) {
            byte[] bytes = MessageCodec.encode(message);
            mReceivedBytes += bytes.length + FRAME_HEADER_BYTES;
            long before = Meter.cpuNanos();
            Message decoded = MessageCodec.decode(bytes, "measured").get();
            mSupervisor.onMessage(worker, (WorkerMessage) decoded, mNowNanos);
            mMessageNanos += Meter.cpuNanos() - before;
        }

        private WorkerStatus status(WorkerId id) {
            var worker = mCluster.workerStatus(id);
            List<RunningTask> running = new ArrayList<>();
            worker.tasks().forEach((task, token) -> running.add(running(task, token)));
            var registration = worker.registration();
            return new WorkerStatus(
                    id,
                    registration.incarnation(),
                    registration.failureDomain(),
                    registration.region(),
                    registration.rack(),
                    new Resources(32_000, 125_000, registration.capacity().acceleratorCount()),
                    mNowNanos / 1_000_000,
                    running,
                    List.of());
        }

        private static RunningTask running(TaskId task, long token) {
            return new RunningTask(task, token, false, 0);
        }

        private HeartbeatAck ack(WorkerId id) {
            var worker = mCluster.workerStatus(id);
            List<UsageSample> samples = new ArrayList<>();
            worker.tasks()
                    .forEach(
                            (task, token) -> {
                                boolean service = mCluster.specOf(task).kind() == JobKind.SERVICE;
                                if (mRandom.nextDouble() < CHANGED_SHARE) {
                                    samples.add(sample(token, service));
                                }
                            });
            long millis = mNowNanos / 1_000_000;
            return new HeartbeatAck(
                    worker.registration().incarnation(), millis, millis, samples, List.of());
        }

        private UsageSample sample(long token, boolean service) {
            return new UsageSample(
                    token,
                    300 + mRandom.nextInt(200),
                    1_000 + mRandom.nextInt(500),
                    service ? 500 + mRandom.nextInt(400) : 0,
                    100);
        }
    }
}
