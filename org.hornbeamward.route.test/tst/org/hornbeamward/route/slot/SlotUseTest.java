package org.hornbeamward.route.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hornbeamward.command.ChangeSlots;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards against the use of slots that are being given back and against unfair slot targets. */
class SlotUseTest {
    private static final EndpointId ENDPOINT = new EndpointId("e0");

    private final Cluster mCluster = new Cluster();
    private final InstanceId mOwn = mCluster.join("a");
    private final SlotUse mUse = new SlotUse();

    private void change(int delta) {
        ChangeSlots command =
                mUse.begin(new ChangeSlots(new TreeMap<>(Map.of(ENDPOINT, delta)), 0));
        mCluster.append(mOwn, command);
        mUse.applied(mCluster.mState.slots(), mOwn);
    }

    @Test
    void slotGivenBackIsNotUsableBeforeTheCommandIsApplied() {
        mCluster.configureLoan(mOwn, 8, "h:1");
        change(2);
        assertTrue(mUse.tryAcquire(ENDPOINT));
        ChangeSlots command = mUse.begin(new ChangeSlots(new TreeMap<>(Map.of(ENDPOINT, -2)), 0));
        assertEquals(-1, command.changes().get(ENDPOINT));
        assertFalse(mUse.tryAcquire(ENDPOINT));
        mCluster.append(mOwn, command);
        mUse.applied(mCluster.mState.slots(), mOwn);
        assertEquals(1, mUse.held(ENDPOINT));
        assertEquals(0, mUse.idle(ENDPOINT));
    }

    @Test
    void demandMovesSlotsToTheBusyMemberAndKeepsAFloor() {
        mCluster.join("b");
        mCluster.append(mOwn, new RenewMember(0, 90));
        Map<InstanceId, Integer> targets = SlotPlanner.targets(mCluster.mState.members().all(), 40);
        assertEquals(40, targets.values().stream().mapToInt(count -> count).sum());
        assertTrue(targets.getOrDefault(mOwn, 0) >= 36);
        assertTrue(targets.getOrDefault(new InstanceId("b"), 0) >= 2);
    }

    @Test
    void idleSlotsOfALeavingEndpointAreGivenBack() {
        mCluster.configureLoan(mOwn, 8, "h:1", "h:2");
        change(4);
        assertTrue(mUse.tryAcquire(ENDPOINT));
        ChangeSlots planned =
                new SlotPlanner(mOwn)
                        .plan(mCluster.mState, mUse, Set.of(ENDPOINT), 0)
                        .orElseThrow();
        assertEquals(-3, planned.changes().get(ENDPOINT));
    }
}
