package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import org.hornbeamward.command.JobKind;
import org.hornbeamward.command.JobSpec;
import org.hornbeamward.command.PlaceTask;
import org.hornbeamward.command.RegisterWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.Resources;
import org.hornbeamward.lib.TaskId;
import org.hornbeamward.lib.TeamId;
import org.hornbeamward.lib.WorkerId;
import org.hornbeamward.pgm.admin.StateViews;
import org.junit.jupiter.api.Test;

class StateViewsTest {
    private static final JobId JOB = new JobId("count");
    private static final WorkerId WORKER = new WorkerId("w1");
    private final FakeBackend mBackend = new FakeBackend();

    StateViewsTest() {
        mBackend.configure(
                "team/night",
                "{\"weight\":1,\"quota\":{\"cpuMillicores\":2000,\"memoryMib\":4096,"
                        + "\"acceleratorCount\":0}}");
        mBackend.run(new SubmitJob("s1", job())).get();
    }

    /** Guards against a wrong wait reason, which makes operators look for the wrong cause. */
    @Test
    void waitingTaskNamesTheRuleThatHoldsItBack() {
        assertEquals("NO_WORKERS", waitReason(0));
        register(500);
        assertEquals("TOO_LARGE", waitReason(0));
        register(1000);
        assertEquals("WAITS_FOR_DECISION", waitReason(0));
        place(0, 1000);
        assertEquals("NOT_ENOUGH_FREE", waitReason(1));
        mBackend.run(new TakeOutDomain("t1", new FailureDomainId("east"), 0, 0, false)).get();
        assertEquals("FAILURE_DOMAIN_OUT", waitReason(1));
    }

    /** Guards against a reason that concerns workers when the team's quota is used up. */
    @Test
    void usedUpQuotaIsTheReason() {
        register(8000);
        place(0, 8000);
        place(1, 8000);
        JsonNode task = task(2);
        assertEquals("QUOTA", task.at("/waits/reason").asText());
        assertEquals(1, task.at("/waits/workers/WITH_ROOM").asInt());
        assertEquals("PLACED", task(0).path("state").asText());
    }

    /** Guards against a state dump in which a view is missing. */
    @Test
    void dumpHoldsEveryView() {
        register(8000);
        JsonNode dump = StateViews.dump(mBackend.mState);
        assertEquals("night", dump.at("/jobs/0/team").asText());
        assertEquals("w1", dump.at("/workers/0/worker").asText());
        assertEquals("entry-1", dump.at("/members/0/instance").asText());
        assertTrue(dump.at("/config/entries").has("team/night"));
        assertEquals(3, dump.path("pendingTaskCount").asInt());
    }

    private String waitReason(int index) {
        return task(index).at("/waits/reason").asText();
    }

    private JsonNode task(int index) {
        return StateViews.job(mBackend.mState, JOB).orElseThrow().at("/tasks/" + index);
    }

    /**
     * Places a task on the worker's incarnation, which {@link #register} sets to its CPU capacity
     * in millicores.
     */
    private void place(int index, long incarnation) {
        mBackend.run(new PlaceTask(new TaskId(JOB, index), WORKER, incarnation)).get();
    }

    private void register(long cpuMillicores) {
        mBackend.run(
                        new RegisterWorker(
                                WORKER,
                                cpuMillicores,
                                new FailureDomainId("east"),
                                new RegionId("here"),
                                "rack-1",
                                new Resources(cpuMillicores, 8192, 0),
                                "127.0.0.1:1",
                                mBackend.mState.members().epoch()))
                .get();
    }

    private static JobSpec job() {
        return new JobSpec(
                JOB,
                new TeamId("night"),
                "count",
                JobKind.BATCH,
                3,
                new Resources(1000, 1024, 0),
                false,
                false,
                0,
                0);
    }
}
