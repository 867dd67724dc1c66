package org.hornbeamward.schedule.policy;

import java.util.List;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.schedule.usage.UsageSample;

/** Best fit by declared sizes; ignores interference. Serves as the baseline of the benchmarks. */
public final class BestFitPolicy implements PlacementPolicy {
    /** Creates the policy. */
    public BestFitPolicy() {}

    @Override
    public boolean usesMeasurements() {
        return false;
    }

    @Override
    public double score(JobSpec job, WorkerView worker) {
        Resources left = worker.free().minus(job.resources());
        return -left.dominantShareOf(worker.capacity());
    }

    @Override
    public void observe(UsageSample sample, WorkerView worker, long nowNanos) {}

    @Override
    public void observeProgress(Progress progress) {}

    @Override
    public double threshold(long waitedNanos, long idleNanos) {
        return Double.NEGATIVE_INFINITY;
    }

    @Override
    public List<Reduction> proposeReductions(WorkerView worker, long nowNanos) {
        return List.of();
    }

    @Override
    public double preference(double score, long waitedNanos) {
        return waitedNanos;
    }
}
