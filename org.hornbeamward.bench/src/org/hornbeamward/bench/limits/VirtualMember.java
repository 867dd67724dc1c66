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

/**
 * Member that runs the product's {@link SlotPlanner}, {@link SlotUse} and {@link
 * ServiceRequestQueue} on a virtual clock, connected to the other members by a log with a delay.
 */
final class VirtualMember {
    static final String SERVICE = "loan";
    private static final long TICK_NANOS = 50_000_000;
    private static final long LOG_DELAY_NANOS = 20_000_000;
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
    private boolean mLeaving;
    boolean mDead;

    /** Whether the load balancer sends requests to this member. */
    boolean mReceivesRequests;

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
        mTime.after(1 + Math.floorMod(seed, TICK_NANOS), this::tick);
    }

    InstanceId id() {
        return mId;
    }

    CompletionStage<RequestOutcome> request(long deadlineNanos) {
        return mQueue.submit(CALL, deadlineNanos, true);
    }

    /**
     * Takes the fixed equal share of the slots that each member has in variants without planning.
     */
    void takeFixedShare(ChangeSlots share) {
        appendSlotChange(share);
    }

    void leave() {
        mLeaving = true;
    }

    /**
     * Stops this member after a crash, its departure or its removal: it sends no further attempts.
     */
    void shutDown() {
        mDead = true;
        mUse.clearHeld();
        updateView(false);
    }

    private void tick() {
        if (mDead) {
            return;
        }
        mDemand.sample(mUse.totalUsed(), mQueue.queuedCount(), mTime.nowNanos());
        if (mLeaving) {
            leaveWhenIdle();
        } else if (mVariant.planned()) {
            OptionalInt demand = mDemand.takeChange();
            demand.ifPresent(
                    count ->
                            mTime.after(
                                    LOG_DELAY_NANOS,
                                    () -> mCluster.append(mId, new RenewMember(0, count))));
            mPlanner.plan(mCluster.state(), mUse, Set.of(), mTime.nowNanos())
                    .ifPresent(this::appendSlotChange);
        }
        mQueue.drain();
        mTime.after(TICK_NANOS, this::tick);
    }

    private void leaveWhenIdle() {
        if (mUse.isOutstanding() || mUse.totalUsed() > 0 || mQueue.queuedCount() > 0) {
            return;
        }
        mPlanner.giveBackAll(mCluster.state(), mUse)
                .ifPresentOrElse(
                        this::appendSlotChange,
                        () -> {
                            mCluster.append(mId, new LeaveMember());
                            shutDown();
                        });
    }

    private void appendSlotChange(ChangeSlots planned) {
        ChangeSlots command = mUse.begin(planned);
        if (command.changes().isEmpty()) {
            return;
        }
        mTime.after(
                LOG_DELAY_NANOS,
                () -> {
                    if (mDead) {
                        return;
                    }
                    mCluster.append(mId, command);
                    mTime.after(LOG_DELAY_NANOS, this::onChangeRead);
                });
    }

    private void onChangeRead() {
        if (mDead) {
            return;
        }
        mUse.applied(mCluster.state().slots(), mId);
        updateView(true);
        mReceivesRequests |= mView.canSend() && !mLeaving;
        mQueue.drain();
    }

    private void updateView(boolean active) {
        mView = RoutingView.from(mCluster.state(), mId, Set.of(), active);
    }

    private CompletionStage<SendResult> send(
            String address, HttpCall call, long remainingMillis, long maxAttemptMillis) {
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
