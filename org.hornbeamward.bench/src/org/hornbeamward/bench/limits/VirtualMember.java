package org.hornbeamward.bench.limits;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.LeaveMember;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.route.claim.RequestOutcome;
import org.hornbeamward.route.front.FrontConfig;
import org.hornbeamward.route.front.RoutingView;
import org.hornbeamward.route.front.SendResult;
import org.hornbeamward.route.front.ServiceRequestQueue;
import org.hornbeamward.route.slot.DemandEstimate;
import org.hornbeamward.route.slot.SlotPlanner;
import org.hornbeamward.route.slot.SlotUse;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;

/** A member with the product's planner, slot use and lane, joined by a delayed log. */
final class VirtualMember {
    static final String SERVICE = "loan";
    private static final long SAMPLE_NANOS = 50_000_000;
    private static final long LOG_NANOS = 20_000_000;
    private static final HttpCall CALL =
            new HttpCall("GET", "/loan", "/loan", Map.of(), new DefaultHttpHeaders(), new byte[0]);

    private final VirtualCluster mCluster;
    private final VirtualTime mTime;
    private final Variant mVariant;
    private final InstanceId mId;
    private final SlotUse mUse = new SlotUse();
    private final SlotPlanner mPlanner;
    private final DemandEstimate mDemand = new DemandEstimate();
    private final ServiceRequestQueue mQueue;
    private RoutingView mView = RoutingView.NONE;
    private boolean mStopping;
    boolean mDead;

    /** Whether the load balancer sends it requests. */
    boolean mTakesRequests;

    long mAttemptCount;

    VirtualMember(VirtualCluster cluster, Variant variant, InstanceId id, long seed) {
        mCluster = cluster;
        mTime = cluster.time();
        mVariant = variant;
        mId = id;
        mPlanner = new SlotPlanner(id);
        mDemand.raiseTo(SlotPlanner.meanDemand(cluster.state()));
        mQueue =
                new ServiceRequestQueue(
                        SERVICE,
                        FrontConfig.DEFAULT,
                        variant.policy(),
                        mUse,
                        this::send,
                        mTime,
                        mTime,
                        new Random(seed),
                        () -> mView);
        mTime.after(1 + Math.floorMod(seed, SAMPLE_NANOS), this::tick);
    }

    InstanceId id() {
        return mId;
    }

    CompletionStage<RequestOutcome> request(long deadlineNanos) {
        return mQueue.submit(CALL, deadlineNanos, true);
    }

    /** Gives the fixed equal share of the baseline. */
    void hold(ChangeSlots share) {
        change(share);
    }

    void leave() {
        mStopping = true;
    }

    /** Reads its own removal: it sends nothing more. */
    void lose() {
        mDead = true;
        mUse.clearHeld();
        publish(false);
    }

    private void tick() {
        if (mDead) {
            return;
        }
        mDemand.sample(mUse.totalUsed(), mQueue.queuedCount(), mTime.nowNanos());
        if (mStopping) {
            stop();
        } else if (mVariant.planned()) {
            OptionalInt demand = mDemand.takeChange();
            demand.ifPresent(
                    count ->
                            mTime.after(
                                    LOG_NANOS,
                                    () -> mCluster.append(mId, new RenewMember(0, count))));
            mPlanner.plan(mCluster.state(), mUse, Set.of(), mTime.nowNanos())
                    .ifPresent(this::change);
        }
        mQueue.drain();
        mTime.after(SAMPLE_NANOS, this::tick);
    }

    private void stop() {
        if (mUse.isOutstanding() || mUse.totalUsed() > 0 || mQueue.queuedCount() > 0) {
            return;
        }
        mPlanner.giveBackAll(mCluster.state(), mUse)
                .ifPresentOrElse(
                        this::change,
                        () -> {
                            mCluster.append(mId, new LeaveMember());
                            lose();
                        });
    }

    private void change(ChangeSlots planned) {
        ChangeSlots command = mUse.begin(planned);
        if (command.changes().isEmpty()) {
            return;
        }
        mTime.after(
                LOG_NANOS,
                () -> {
                    if (mDead) {
                        return;
                    }
                    mCluster.append(mId, command);
                    mTime.after(LOG_NANOS, this::readBack);
                });
    }

    private void readBack() {
        if (mDead) {
            return;
        }
        mUse.applied(mCluster.state().slots(), mId);
        publish(true);
        mTakesRequests |= mView.canSend() && !mStopping;
        mQueue.drain();
    }

    private void publish(boolean active) {
        mView = RoutingView.from(mCluster.state(), mId, Set.of(), active);
    }

    private CompletionStage<SendResult> send(
            String address, HttpCall call, long remainingMillis, long longestMillis) {
        CompletableFuture<SendResult> result = new CompletableFuture<>();
        mAttemptCount++;
        VirtualEndpoint endpoint = mCluster.endpoint(address);
        long network = mCluster.networkNanos();
        mTime.after(
                network,
                () ->
                        endpoint.run(
                                status ->
                                        mTime.after(
                                                network,
                                                () ->
                                                        result.complete(
                                                                new SendResult.Answered(
                                                                        HttpReply.json(
                                                                                status, ""))))));
        return result;
    }
}
