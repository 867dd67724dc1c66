package org.hornbeamward.standin.worker;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpHandler;
import org.hornbeamward.transport.http.HttpReply;

/**
 * HTTP control interface of the stand-in workers of a process.
 *
 * <ul>
 *   <li>{@code POST /faults} with {@link WorkerFaults} answers 204; 400 for a malformed body and
 *       404 for an unknown worker.
 *   <li>{@code GET /events?worker=w1&from=N} answers {@code {"next":M,"events":[{"sequence",
 *       "worker","incarnation","kind","task","token","checkpoint","detail",
 *       "committedCpuMillicores","committedMemoryMib","committedAcceleratorCount",
 *       "monotonicMillis","wallMillis"}...]}}. Both parameters may be left out. Kinds are those of
 *       {@link WorkerEvent.Kind} in lower case.
 * </ul>
 */
public final class WorkerControl implements HttpHandler {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final List<StandinWorker> mWorkers;
    private final EventRecord mEvents;

    /**
     * Creates the handler.
     *
     * @param workers workers that receive faults
     * @param events events of these workers
     */
    public WorkerControl(List<StandinWorker> workers, EventRecord events) {
        mWorkers = List.copyOf(workers);
        mEvents = events;
    }

    @Override
    public CompletionStage<HttpReply> handle(HttpCall call) {
        return CompletableFuture.completedStage(answer(call));
    }

    private HttpReply answer(HttpCall call) {
        return switch (call.method() + " " + call.path()) {
            case "POST /faults" -> applyFaults(call.body());
            case "GET /events" -> events(call);
            default -> problem(404, "NotFound", "use POST /faults or GET /events");
        };
    }

    private HttpReply applyFaults(byte[] body) {
        WorkerFaults faults;
        try {
            faults = JSON.readValue(body, WorkerFaults.class);
        } catch (JsonProcessingException e) {
            return problem(400, "InvalidSetting", e.getOriginalMessage());
        } catch (IOException e) {
            return problem(400, "InvalidSetting", "unreadable body");
        }
        List<StandinWorker> targets =
                mWorkers.stream()
                        .filter(
                                worker ->
                                        faults.worker() == null
                                                || worker.identity()
                                                        .worker()
                                                        .value()
                                                        .equals(faults.worker()))
                        .toList();
        if (targets.isEmpty()) {
            return problem(404, "NotFound", "worker " + faults.worker() + " is not here");
        }
        targets.forEach(worker -> worker.apply(faults));
        return HttpReply.text(204, "text/plain", "");
    }

    private HttpReply events(HttpCall call) {
        long from;
        try {
            from = Long.parseLong(call.parameter("from").orElse("0"));
        } catch (NumberFormatException e) {
            return problem(400, "InvalidSetting", "from: expected a number");
        }
        String workerFilter = call.parameter("worker").orElse(null);
        ObjectNode document = JSON.createObjectNode();
        ArrayNode events = document.putArray("events");
        List<WorkerEvent> all = mEvents.all();
        long firstSequence = mEvents.addedCount() - all.size();
        document.put("next", firstSequence + all.size());
        for (int index = 0; index < all.size(); index++) {
            WorkerEvent event = all.get(index);
            if (firstSequence + index >= from
                    && (workerFilter == null || workerFilter.equals(event.worker()))) {
                writeEvent(events.addObject().put("sequence", firstSequence + index), event);
            }
        }
        return HttpReply.json(200, document.toString());
    }

    private static void writeEvent(ObjectNode node, WorkerEvent event) {
        node.put("worker", event.worker())
                .put("incarnation", event.incarnation())
                .put("kind", event.kindText())
                .put("task", event.task())
                .put("token", event.token())
                .put("checkpoint", event.checkpoint())
                .put("detail", event.detail())
                .put("committedCpuMillicores", event.committed().cpuMillicores())
                .put("committedMemoryMib", event.committed().memoryMib())
                .put("committedAcceleratorCount", event.committed().acceleratorCount())
                .put("monotonicMillis", event.monotonicMillis())
                .put("wallMillis", event.wallMillis());
    }

    private static HttpReply problem(int status, String kind, String message) {
        ObjectNode problem = JSON.createObjectNode().put("kind", kind).put("message", message);
        return HttpReply.problem(status, problem.toString());
    }
}
