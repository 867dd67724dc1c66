package org.hornbeamward.pgm.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.schedule.usage.TaskUsage;
import org.hornbeamward.schedule.usage.UsageSample;
import org.hornbeamward.schedule.worker.UsageSampleStore;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.JobStatus;
import org.hornbeamward.state.WorkerStatus;
import org.hornbeamward.transport.message.UsageReport;
import org.hornbeamward.transport.message.WorkerSamples;

/**
 * Converts usage reports from supervisors into samples for the decider. Confined to the control
 * duty.
 */
final class UsageCollector {
    private static final double PERMILLE = 1_000.0;

    private final UsageSampleStore mStore = new UsageSampleStore();
    private final List<WorkerId> mChanged = new ArrayList<>();

    void add(UsageReport report) {
        for (WorkerSamples samples : report.workers()) {
            mStore.add(samples);
            mChanged.add(samples.worker());
        }
    }

    /** Returns the samples of workers that changed since the last call. */
    List<UsageSample> take(ClusterState state) {
        List<UsageSample> samples = new ArrayList<>();
        for (WorkerId worker : mChanged) {
            WorkerStatus status = state.work().workers().get(worker);
            if (status != null) {
                mStore.current(worker)
                        .filter(
                                current ->
                                        current.incarnation()
                                                == status.registration().incarnation())
                        .ifPresent(current -> samples.add(sample(state, status, current)));
            }
        }
        mChanged.clear();
        return samples;
    }

    private static UsageSample sample(
            ClusterState state, WorkerStatus status, WorkerSamples current) {
        Map<Long, TaskId> tasks = new TreeMap<>();
        status.tasks().forEach((task, token) -> tasks.put(token, task));
        List<TaskUsage> usages = new ArrayList<>();
        SortedMap<String, Double> ratios = new TreeMap<>();
        for (org.hornbeamward.transport.message.UsageSample measured : current.samples()) {
            TaskId task = tasks.get(measured.token());
            JobStatus job = task == null ? null : state.work().jobs().get(task.job());
            if (task == null || job == null) {
                continue;
            }
            JobSpec spec = job.spec();
            usages.add(
                    new TaskUsage(
                            task,
                            measured.token(),
                            spec.className(),
                            measured.cpuMillicores(),
                            measured.memoryMib(),
                            measured.throttlePercent()));
            if (measured.latencyPermille() > 0) {
                ratios.merge(spec.className(), measured.latencyPermille() / PERMILLE, Math::max);
            }
        }
        return new UsageSample(
                current.worker(), current.incarnation(), current.measuredMillis(), usages, ratios);
    }
}
