package org.hornbeamward.dispatch.lead;

import org.hornbeamward.dispatch.job.StepSpec;
import org.hornbeamward.lib.Resources;

/** Sums the resources that a set of runs takes from a worker. */
final class Usage {
    private Resources mReserved = Resources.NONE;
    private long mFillerCpuMillicores;
    private long mLongRunningCpuMillicores;

    void add(Run run) {
        count(run.task.step.spec, 1);
    }

    void remove(Run run) {
        count(run.task.step.spec, -1);
    }

    private void count(StepSpec spec, int sign) {
        mReserved = mReserved.plus(spec.reservation().times(sign));
        long cpuMillicores = sign * spec.size().cpuMillicores();
        if (spec.filler()) {
            mFillerCpuMillicores += cpuMillicores;
        } else if (spec.longRunning()) {
            mLongRunningCpuMillicores += cpuMillicores;
        }
    }

    Resources reserved() {
        return mReserved;
    }

    long fillerCpuMillicores() {
        return mFillerCpuMillicores;
    }

    long longRunningCpuMillicores() {
        return mLongRunningCpuMillicores;
    }
}
