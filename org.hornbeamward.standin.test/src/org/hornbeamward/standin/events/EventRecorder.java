package org.hornbeamward.standin.events;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;

/**
 * Records the events of a stand-in, independent of what the tested program reports. Keeps the
 * newest events and counts all of them. Thread-safe.
 */
public final class EventRecorder {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_EVENT_COUNT = 200_000;

    private final ArrayDeque<StandInEvent> mEvents = new ArrayDeque<>();
    private final Map<String, Long> mCounts = new TreeMap<>();
    private long mNextSequence = 1;

    /** Creates a recorder without events. */
    public EventRecorder() {}

    /**
     * Records an event.
     *
     * @param kind short name in lower case
     * @param fields further fields
     */
    public synchronized void record(String kind, Map<String, ?> fields) {
        count(kind);
        mEvents.add(new StandInEvent(mNextSequence++, System.nanoTime(), kind, Map.copyOf(fields)));
        if (mEvents.size() > MAX_EVENT_COUNT) {
            mEvents.remove();
        }
    }

    /**
     * Counts an event without keeping it. For frequent events.
     *
     * @param kind short name in lower case
     */
    public synchronized void count(String kind) {
        mCounts.merge(kind, 1L, Long::sum);
    }

    /**
     * Returns how many events of a kind occurred.
     *
     * @param kind name of the kind
     * @return the number, including events that are no longer kept
     */
    public synchronized long countOf(String kind) {
        return mCounts.getOrDefault(kind, 0L);
    }

    /**
     * Returns the events of a kind that are still kept.
     *
     * @param kind name of the kind
     * @return the events, oldest first
     */
    public synchronized List<StandInEvent> ofKind(String kind) {
        return new ArrayList<>(mEvents).stream().filter(e -> e.kind().equals(kind)).toList();
    }

    /**
     * Handles {@code GET /events?from=N}. Responds with {@code {"next":M,"counts":{kind:number...},
     * "events":[{"sequence","atNanos","kind", further fields}...]}}. Events before sequence number
     * N (default 1) are left out; M is the sequence number of the next event.
     *
     * @param call the request
     * @return the response
     */
    public HttpReply handle(HttpCall call) {
        try {
            return HttpReply.json(200, toJson(Long.parseLong(call.parameter("from").orElse("1"))));
        } catch (NumberFormatException e) {
            return FaultJson.badRequest("from: expected a number");
        }
    }

    private synchronized String toJson(long fromSequence) {
        ObjectNode document = JSON.createObjectNode();
        document.put("next", mNextSequence);
        document.set("counts", JSON.valueToTree(mCounts));
        ArrayNode events = document.putArray("events");
        for (StandInEvent event : mEvents) {
            if (event.sequence() >= fromSequence) {
                ObjectNode node = events.addObject();
                node.put("sequence", event.sequence());
                node.put("atNanos", event.atNanos());
                node.put("kind", event.kind());
                node.setAll((ObjectNode) JSON.valueToTree(event.fields()));
            }
        }
        return document.toString();
    }
}
