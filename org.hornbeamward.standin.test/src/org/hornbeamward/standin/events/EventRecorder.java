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
 * A stand-in's own record of what it did, independent of what the tested program reports. Keeps the
 * newest events and counts all of them. Safe for use by any thread.
 */
public final class EventRecorder {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAX_EVENTS_COUNT = 200_000;

    private final ArrayDeque<StandInEvent> mEvents = new ArrayDeque<>();
    private final Map<String, Long> mCounts = new TreeMap<>();
    private long mNextSequence = 1;

    /** Creates an empty record. */
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
        if (mEvents.size() > MAX_EVENTS_COUNT) {
            mEvents.remove();
        }
    }

    /**
     * Counts an event without keeping it, for frequent events.
     *
     * @param kind short name in lower case
     */
    public synchronized void count(String kind) {
        mCounts.merge(kind, 1L, Long::sum);
    }

    /**
     * Returns how often a kind occurred.
     *
     * @param kind its name
     * @return the number, 0 if it never occurred
     */
    public synchronized long countOf(String kind) {
        return mCounts.getOrDefault(kind, 0L);
    }

    /**
     * Returns the events of one kind.
     *
     * @param kind its name
     * @return those still kept, oldest first
     */
    public synchronized List<StandInEvent> ofKind(String kind) {
        return new ArrayList<>(mEvents).stream().filter(e -> e.kind().equals(kind)).toList();
    }

    /**
     * Answers {@code GET /events?from=N} with {@code {"next":M,"counts":{kind:number...},
     * "events":[{"sequence","atNanos","kind", further fields}...]}}. Events before sequence N
     * (default 1) are left out; M is the sequence of the next event.
     *
     * @param call the request
     * @return the response
     */
    public HttpReply answer(HttpCall call) {
        try {
            return HttpReply.json(200, json(Long.parseLong(call.parameter("from").orElse("1"))));
        } catch (NumberFormatException e) {
            return FaultJson.refusal("from: expected a number");
        }
    }

    private synchronized String json(long fromSequence) {
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
