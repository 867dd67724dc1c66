package org.hornbeamward.pgm.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.member.Roles;
import org.hornbeamward.schedule.worker.UsageSampleStore;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.WorkerStatus;
import org.hornbeamward.transport.message.UsageReport;
import org.hornbeamward.transport.message.WorkerSamples;

/**
 * Groups the usage of supervised workers by the decider of their region, so that only that member
 * receives it. Confined to the control duty.
 */
final class UsageForwarder {
    private long mKnownEpoch = -1;

    /**
     * Returns the usage that changed since the last call, by decider. After a membership change it
     * returns all usage, because the decider may be a different member.
     */
    Map<InstanceId, UsageReport> take(UsageSampleStore store, ClusterState state) {
        boolean all = state.members().epoch() != mKnownEpoch;
        mKnownEpoch = state.members().epoch();
        Map<InstanceId, List<WorkerSamples>> byDecider = new HashMap<>();
        for (WorkerSamples samples : store.takeChanged(all).workers()) {
            WorkerStatus worker = state.work().workers().get(samples.worker());
            if (worker == null) {
                continue;
            }
            Roles.deciderOf(worker.registration().region(), state.members().all().values())
                    .ifPresent(
                            decider ->
                                    byDecider
                                            .computeIfAbsent(decider, id -> new ArrayList<>())
                                            .add(samples));
        }
        Map<InstanceId, UsageReport> reports = new HashMap<>();
        byDecider.forEach((decider, samples) -> reports.put(decider, new UsageReport(samples)));
        return reports;
    }
}
