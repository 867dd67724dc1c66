package org.hornbeamward.route.slot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamward.command.LeaveMember;
import org.hornbeamward.command.RenewMember;
import org.hornbeamward.lib.EndpointId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.state.ClusterState;
import org.junit.jupiter.api.Test;

/** Guards against sending more concurrent requests to an endpoint than it has slots. */
class SlotPropertyTest {
    private static final EndpointId ENDPOINT = new EndpointId("e0");
    private static final int SLOT_COUNT = 8;
    private static final long REQUEST_MILLIS = 1_000;

    /** A member that reads the log, may lag or be removed, and sends requests of bounded length. */
    private static final class Process {
        final InstanceId mId;
        final SlotUse mUse = new SlotUse();
        final SlotPlanner mPlanner;
        final List<Long> mRequestEnds = new ArrayList<>();
        long mStopsSendingMillis = Long.MAX_VALUE;

        Process(InstanceId id) {
            mId = id;
            mPlanner = new SlotPlanner(id);
        }

        void endRequests(long nowMillis) {
            int before = mRequestEnds.size();
            mRequestEnds.removeIf(end -> end <= nowMillis);
            for (int ended = mRequestEnds.size(); ended < before; ended++) {
                mUse.release(ENDPOINT);
            }
        }
    }

    @Property(seed = "21", tries = 300)
    void usedSlotsNeverExceedTheEndpointsCount(@ForAll List<Integer> script) {
        Cluster cluster = new Cluster();
        List<Process> processes = new ArrayList<>();
        List<Process> removed = new ArrayList<>();
        InstanceId operator = cluster.join("operator");
        cluster.configureLoan(operator, SLOT_COUNT, "h:1");
        for (int index = 0; index < 4; index++) {
            processes.add(new Process(cluster.join("m" + index)));
        }
        long nowMillis = 0;
        int joinCount = 0;
        for (int step : script) {
            nowMillis += Math.floorMod(step, 700);
            Process selected = processes.get(Math.floorMod(step / 7, processes.size()));
            switch (Math.floorMod(step, 6)) {
                case 0, 1 -> request(selected, nowMillis, REQUEST_MILLIS);
                case 2 -> cluster.append(selected.mId, new RenewMember(0, Math.floorMod(step, 30)));
                case 3 -> {
                    // A removed member may go on sending for up to
                    // RemovalWaitTracker.PROMISE_MILLIS.
                    selected.mStopsSendingMillis = nowMillis + Math.floorMod(step / 5, 4_000);
                    removed.add(selected);
                    processes.remove(selected);
                    cluster.remove(operator, selected.mId);
                    processes.add(new Process(cluster.join("n" + joinCount++)));
                }
                case 4 -> {
                    removed.add(selected);
                    processes.remove(selected);
                    selected.mStopsSendingMillis = nowMillis;
                    cluster.append(selected.mId, new LeaveMember());
                    processes.add(new Process(cluster.join("n" + joinCount++)));
                }
                default -> reconfigure(cluster, operator, Math.floorMod(step / 6, 3));
            }
            for (Process process : processes) {
                plan(cluster.mState, cluster, process, nowMillis);
            }
            for (Process process : removed) {
                if (nowMillis < process.mStopsSendingMillis) {
                    request(process, nowMillis, REQUEST_MILLIS);
                }
            }
            assertUse(processes, removed, nowMillis);
        }
    }

    private static void reconfigure(Cluster cluster, InstanceId operator, int kind) {
        Map<String, String> entry =
                kind == 0
                        ? Map.of("endpoint/e0", "")
                        : Map.of("endpoint/e0", Cluster.endpoint("h:1", SLOT_COUNT));
        cluster.configure(operator, new TreeMap<>(entry));
    }

    private static void request(Process process, long nowMillis, long durationMillis) {
        process.endRequests(nowMillis);
        while (process.mUse.tryAcquire(ENDPOINT)) {
            process.mRequestEnds.add(nowMillis + durationMillis);
        }
    }

    private static void plan(ClusterState state, Cluster cluster, Process process, long nowMillis) {
        process.endRequests(nowMillis);
        process.mPlanner
                .plan(state, process.mUse, Set.of(), nowMillis * 1_000_000)
                .map(process.mUse::begin)
                .filter(command -> !command.changes().isEmpty())
                .ifPresent(
                        command -> {
                            cluster.append(process.mId, command);
                            process.mUse.applied(state.slots(), process.mId);
                        });
    }

    private static void assertUse(List<Process> processes, List<Process> removed, long nowMillis) {
        int used = 0;
        Set<Process> all = new HashSet<>(processes);
        all.addAll(removed);
        for (Process process : all) {
            process.endRequests(nowMillis);
            used += process.mUse.used(ENDPOINT);
        }
        assertTrue(used <= SLOT_COUNT, "used " + used + " at " + nowMillis + " ms");
    }

    @Test
    void releaseSurvivesTheEndpointsAbsenceFromTheConfiguration() {
        Cluster cluster = new Cluster();
        InstanceId a = cluster.join("a");
        InstanceId b = cluster.join("b");
        cluster.configureLoan(a, SLOT_COUNT, "h:1");
        assertEquals(6, cluster.change(b, ENDPOINT, 6, 0));
        cluster.remove(a, b);
        reconfigure(cluster, a, 0);
        assertEquals(0, cluster.change(a, ENDPOINT, 8, 0));
        reconfigure(cluster, a, 1);
        assertEquals(2, cluster.change(a, ENDPOINT, 8, 0));
    }

    @Test
    void takeOfWaitedReleaseKeepsTheLaterOne() {
        Cluster cluster = new Cluster();
        Map<String, InstanceId> ids = new HashMap<>();
        for (String name : List.of("a", "b", "c", "d")) {
            ids.put(name, cluster.join(name));
        }
        InstanceId a = ids.getOrDefault("a", new InstanceId("a"));
        InstanceId b = ids.getOrDefault("b", a);
        InstanceId c = ids.getOrDefault("c", a);
        InstanceId d = ids.getOrDefault("d", a);
        cluster.configureLoan(a, SLOT_COUNT, "h:1");
        cluster.change(b, ENDPOINT, 4, 0);
        cluster.change(c, ENDPOINT, 4, 0);
        cluster.remove(a, b);
        long first = cluster.mState.slots().newestRemovalToken();
        cluster.remove(a, c);
        long second = cluster.mState.slots().newestRemovalToken();
        assertEquals(4, cluster.change(a, ENDPOINT, 8, first));
        assertEquals(0, cluster.change(d, ENDPOINT, 8, first));
        assertEquals(4, cluster.change(d, ENDPOINT, 8, second));
    }

    @Test
    void slotsHeldAtALeaveWaitLikeThoseOfARemoval() {
        Cluster cluster = new Cluster();
        InstanceId a = cluster.join("a");
        InstanceId b = cluster.join("b");
        cluster.configureLoan(a, SLOT_COUNT, "h:1");
        cluster.change(b, ENDPOINT, 5, 0);
        cluster.append(b, new LeaveMember());
        assertEquals(3, cluster.change(a, ENDPOINT, 8, 0));
    }
}
