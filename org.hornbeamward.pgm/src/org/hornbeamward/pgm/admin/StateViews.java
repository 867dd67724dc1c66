package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.state.ClusterState;
import org.hornbeamward.state.DomainStatus;
import org.hornbeamward.state.JobStatus;
import org.hornbeamward.state.Member;
import org.hornbeamward.state.TaskState;
import org.hornbeamward.state.TaskStatus;
import org.hornbeamward.state.WorkerStatus;

/**
 * JSON views of the replicated state. Every method reads the live state, so it must be called on
 * the thread that applies the log. The result is a copy that later changes of the state do not
 * affect.
 */
public final class StateViews {
    private StateViews() {}

    /**
     * Returns the configuration in force.
     *
     * @param state the state
     * @return the version, the entries and the version in force at each member
     */
    public static JsonNode config(ClusterState state) {
        ObjectNode node = JsonDocuments.object();
        node.put("version", state.config().version());
        ObjectNode entries = node.putObject("entries");
        state.config()
                .entries()
                .forEach(
                        (key, json) ->
                                JsonDocuments.parse(key, json)
                                        .forEach(value -> entries.set(key, value)));
        ArrayNode members = node.putArray("members");
        for (Member member : state.members().all().values()) {
            members.addObject()
                    .put("instance", member.instance().value())
                    .put("configVersion", member.configVersion());
        }
        return node;
    }

    /**
     * Returns the failure domains that are configured or were ever changed by a command.
     *
     * @param state the state
     * @return an array sorted by name
     */
    public static JsonNode domains(ClusterState state) {
        SortedSet<FailureDomainId> ids =
                new TreeSet<>(state.config().configuration().domains().keySet());
        ids.addAll(state.domains().changedDomains().keySet());
        ArrayNode list = JsonDocuments.object().arrayNode();
        for (FailureDomainId id : ids) {
            DomainStatus status = state.domains().status(id);
            long workerCount =
                    state.work().workers().values().stream()
                            .filter(worker -> worker.registration().failureDomain().equals(id))
                            .count();
            ObjectNode node =
                    list.addObject()
                            .put("failureDomain", id.value())
                            .put("inService", status.inService())
                            .put("version", status.version());
            if (!status.inService()) {
                node.put("noticeMillis", status.noticeMillis()).put("lost", status.lost());
            }
            node.put("workerCount", workerCount).put("heldTaskCount", heldTaskCount(state, id));
        }
        return list;
    }

    /**
     * Returns the entry instances that are members.
     *
     * @param state the state
     * @return an array sorted by name
     */
    public static JsonNode members(ClusterState state) {
        ArrayNode list = JsonDocuments.object().arrayNode();
        for (Member member : state.members().all().values()) {
            ObjectNode node =
                    list.addObject()
                            .put("instance", member.instance().value())
                            .put("incarnation", member.incarnation())
                            .put("failureDomain", member.join().failureDomain().value())
                            .put("region", member.join().region().value())
                            .put("adminAddress", member.join().adminAddress())
                            .put("peerAddress", member.join().peerAddress())
                            .put("configVersion", member.configVersion());
            ArrayNode suspects = node.putArray("suspectedBy");
            member.suspectedBy().forEach(suspect -> suspects.add(suspect.value()));
        }
        return list;
    }

    /**
     * Returns the registered workers.
     *
     * @param state the state
     * @return an array sorted by name
     */
    public static JsonNode workers(ClusterState state) {
        ArrayNode list = JsonDocuments.object().arrayNode();
        for (WorkerStatus worker : state.work().workers().values()) {
            ObjectNode node =
                    list.addObject()
                            .put("worker", worker.worker().value())
                            .put("incarnation", worker.registration().incarnation())
                            .put("failureDomain", worker.registration().failureDomain().value())
                            .put("region", worker.registration().region().value())
                            .put("rack", worker.registration().rack())
                            .put("address", worker.registration().address())
                            .put("quarantined", worker.quarantined())
                            .put("heldTaskCount", worker.tasks().size());
            node.set("capacity", JobSpecJson.writeResources(worker.registration().capacity()));
            node.set("committed", JobSpecJson.writeResources(worker.committed()));
        }
        return list;
    }

    /**
     * Returns the known jobs, including those that ended recently.
     *
     * @param state the state
     * @return an array sorted by name, without tasks
     */
    public static JsonNode jobs(ClusterState state) {
        ArrayNode list = JsonDocuments.object().arrayNode();
        state.work().jobs().values().forEach(job -> list.add(summary(job)));
        return list;
    }

    /**
     * Returns one job with the state of each task and why a pending task waits.
     *
     * @param state the state
     * @param id the job
     * @return the job, or empty if it is unknown
     */
    public static Optional<JsonNode> job(ClusterState state, JobId id) {
        JobStatus job = state.work().jobs().get(id);
        if (job == null) {
            return Optional.empty();
        }
        ObjectNode node = summary(job);
        node.set("declaration", JobSpecJson.write(job.spec()));
        ArrayNode tasks = node.putArray("tasks");
        job.tasks().forEach(task -> tasks.add(task(state, job, task)));
        return Optional.of(node);
    }

    /**
     * Returns the review figures of a month; docs/review.md defines them.
     *
     * @param state the state
     * @param month the month in UTC
     * @return the figures with their definition version and gaps
     */
    public static JsonNode review(ClusterState state, java.time.YearMonth month) {
        return ReviewView.of(state.figures(), month);
    }

    /**
     * Returns a dump of the state for debugging.
     *
     * @param state the state
     * @return log position, log time, membership epoch, number of pending tasks and every view;
     *     jobs are without their tasks
     */
    public static ObjectNode dump(ClusterState state) {
        ObjectNode node = JsonDocuments.object();
        node.put("nextOffset", state.nextOffset());
        node.put("logTime", Instant.ofEpochMilli(state.logTimeMillis()).toString());
        node.put("membershipEpoch", state.members().epoch());
        node.put("pendingTaskCount", state.work().pending().size());
        node.set("config", config(state));
        node.set("domains", domains(state));
        node.set("members", members(state));
        node.set("workers", workers(state));
        node.set("jobs", jobs(state));
        node.set("slots", slots(state));
        return node;
    }

    private static JsonNode slots(ClusterState state) {
        ObjectNode endpoints = JsonDocuments.object();
        for (var endpoint : state.config().configuration().endpoints().keySet()) {
            ObjectNode holders = endpoints.putObject(endpoint.value());
            state.slots()
                    .holders(endpoint)
                    .forEach((instance, count) -> holders.put(instance.value(), count));
        }
        return endpoints;
    }

    private static long heldTaskCount(ClusterState state, FailureDomainId domain) {
        return state.work().workers().values().stream()
                .filter(worker -> worker.registration().failureDomain().equals(domain))
                .mapToLong(worker -> worker.tasks().size())
                .sum();
    }

    private static ObjectNode summary(JobStatus job) {
        int[] counts = new int[4];
        for (TaskStatus task : job.tasks()) {
            counts[stateIndex(task.state())]++;
        }
        ObjectNode node =
                JsonDocuments.object()
                        .put("job", job.spec().id().value())
                        .put("team", job.spec().team().value())
                        .put("kind", job.spec().kind().name())
                        .put("token", job.submitToken())
                        .put("ended", job.ended())
                        .put("cancelled", job.cancelled())
                        .put("pendingCount", counts[0])
                        .put("placedCount", counts[1])
                        .put("stoppingCount", counts[2])
                        .put("endedCount", counts[3]);
        String reason = job.rejectReason();
        if (reason != null) {
            node.put("rejectReason", reason);
        }
        return node;
    }

    private static int stateIndex(TaskState state) {
        return switch (state) {
            case TaskState.Pending pending -> 0;
            case TaskState.Placed placed -> 1;
            case TaskState.Stopping stopping -> 2;
            case TaskState.Ended ended -> 3;
        };
    }

    private static ObjectNode task(ClusterState state, JobStatus job, TaskStatus task) {
        ObjectNode node =
                JsonDocuments.object()
                        .put("index", task.task().index())
                        .put("checkpoint", task.checkpoint())
                        .put("placementCount", task.placementCount())
                        .put("evictionCount", task.evictionCount());
        switch (task.state()) {
            case TaskState.Pending pending -> {
                node.put("state", "PENDING");
                node.set("waits", WaitReason.explain(state, job, task));
            }
            case TaskState.Placed placed ->
                    node.put("state", "PLACED")
                            .put("worker", placed.worker().value())
                            .put("token", placed.token());
            case TaskState.Stopping stopping ->
                    node.put("state", "STOPPING")
                            .put("worker", stopping.worker().value())
                            .put("token", stopping.token())
                            .put("reason", stopping.reason().name());
            case TaskState.Ended ended ->
                    node.put("state", "ENDED").put("result", ended.result().name());
        }
        return node;
    }
}
