package org.hornbeamward.pgm.entry;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hornbeamward.kernel.PlugInRegistry;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.member.Roles;
import org.hornbeamward.schedule.decide.Advice;
import org.hornbeamward.schedule.decide.Decider;
import org.hornbeamward.schedule.decide.Decisions;
import org.hornbeamward.schedule.policy.PlacementPolicy;
import org.hornbeamward.schedule.usage.UsageSample;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.CommandResult;
import org.hornbeamward.state.WorkerStatus;
import org.hornbeamward.transport.message.TaskAdvice;

/** Runs the decider while this member is the decider of a region. Confined to the control duty. */
final class DeciderRunner {
    /** Most decisions on an older state would be rejected when their record is applied. */
    private static final long MAX_STATE_AGE_NANOS = 2_000_000_000L;

    private static final long PERIOD_NANOS = 40_000_000L;

    private final InstanceId mOwn;
    private final PlugInRegistry mPlugIns;
    private final ControlTimers.Timer mTimer = new ControlTimers.Timer(PERIOD_NANOS);
    private Set<RegionId> mRegions = Set.of();
    private Optional<Decider> mDecider = Optional.empty();
    private String mPolicyName = "";
    private boolean mLogSeen;
    private long mLogReadNanos;

    DeciderRunner(InstanceId own, PlugInRegistry plugIns) {
        mOwn = own;
        mPlugIns = plugIns;
    }

    void onLogEnd(long readStartedNanos) {
        mLogSeen = true;
        mLogReadNanos = readStartedNanos;
    }

    void onResult(CommandResult result) {
        mDecider.ifPresent(decider -> decider.onResult(result));
    }

    /** Discards the decider with its pending decisions and learned estimates. */
    void reset() {
        mDecider = Optional.empty();
    }

    void run(ClusterState state, List<UsageSample> samples, long nowNanos, ControlDuty control) {
        if (!mLogSeen || nowNanos - mLogReadNanos > MAX_STATE_AGE_NANOS || !mTimer.due(nowNanos)) {
            return;
        }
        Set<RegionId> regions = ownRegions(state);
        if (regions.isEmpty()) {
            mDecider = Optional.empty();
            return;
        }
        Decider decider = deciderFor(state, regions);
        Decisions decisions = decider.decide(state, samples, nowNanos);
        decisions.commands().forEach(control::offer);
        decisions.advice().forEach(advice -> sendAdvice(advice, state, control));
    }

    private Set<RegionId> ownRegions(ClusterState state) {
        Set<RegionId> regions = new HashSet<>();
        for (WorkerStatus worker : state.work().workers().values()) {
            regions.add(worker.registration().region());
        }
        regions.removeIf(
                region ->
                        !Roles.deciderOf(region, state.members().all().values())
                                .equals(Optional.of(mOwn)));
        return regions;
    }

    private Decider deciderFor(ClusterState state, Set<RegionId> regions) {
        String policyName = state.config().configuration().policy().placementPolicy();
        if (mDecider.isEmpty() || !policyName.equals(mPolicyName)) {
            mPolicyName = policyName;
            mDecider = Optional.of(new Decider(policy(policyName)));
            mRegions = Set.of();
        }
        Decider decider = mDecider.get();
        if (!regions.equals(mRegions)) {
            mRegions = regions;
            decider.setRegions(regions);
        }
        return decider;
    }

    private PlacementPolicy policy(String name) {
        return mPlugIns.find(PlacementPolicy.Factory.class, name)
                .or(() -> mPlugIns.find(PlacementPolicy.Factory.class, "best-fit"))
                .orElseThrow(() -> new IllegalStateException("no placement policy is registered"))
                .create();
    }

    private void sendAdvice(Advice advice, ClusterState state, ControlDuty control) {
        WorkerStatus worker = state.work().workers().get(advice.worker());
        if (worker == null) {
            return;
        }
        int percent =
                switch (advice.kind()) {
                    case THROTTLE -> advice.throttlePercent();
                    case CHECKPOINT -> 0;
                };
        TaskAdvice message = new TaskAdvice(advice.worker(), advice.token(), percent);
        Roles.supervisorOf(worker.registration(), state.members().all().values())
                .ifPresent(supervisor -> control.advise(supervisor, message));
    }
}
