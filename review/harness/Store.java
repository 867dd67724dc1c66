import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: the log of PROTOCOL.md with keyed topics of one partition. */
final class Store {
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_COUNT = 500;

    private record Entry(String key, byte[] value) {}

    private static final class Producer {
        long mEpoch = -1;
        long mNextSequence = -1;
        final Map<Long, long[]> mRecent = new LinkedHashMap<>();
    }

    private static final class Topic {
        final List<Entry> mEntries = new ArrayList<>();
        final Map<String, Producer> mProducers = new HashMap<>();
    }

    private final Map<String, Topic> mTopics = new HashMap<>();
    private final Map<String, Long> mBeatMillis = new HashMap<>();
    private final HttpServer mServer;
    private final long mEntryLifeMillis;

    Store(String host, long heartbeatMillis) throws IOException {
        mEntryLifeMillis = 3 * heartbeatMillis;
        mServer = Http.listen(host, 0);
        mServer.createContext("/hornbeamward/log-append", call -> Http.guard(call, this::append));
        mServer.createContext("/hornbeamward/log-read", call -> Http.guard(call, this::read));
        mServer.createContext("/hornbeamward/log-newest", call -> Http.guard(call, this::newest));
        mServer.start();
        Thread.ofVirtual().start(this::expireEntries);
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    void close() {
        mServer.stop(0);
    }

    /** Writes a record of the operator or of a server. */
    synchronized void put(String topic, String key, byte[] value) {
        topic(topic).mEntries.add(new Entry(key, value));
        if (topic.equals("keyed.servers")) {
            mBeatMillis.put(key, System.nanoTime() / 1_000_000);
        }
        notifyAll();
    }

    synchronized void remove(String topic, String key) {
        topic(topic).mEntries.add(new Entry(key, new byte[0]));
        notifyAll();
    }

    private void expireEntries() {
        while (true) {
            Clock.sleep(100);
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                for (String key : List.copyOf(mBeatMillis.keySet())) {
                    if (now - mBeatMillis.get(key) > mEntryLifeMillis) {
                        mBeatMillis.remove(key);
                        remove("keyed.servers", key);
                        RunLog.line("store", "the entry of " + key + " has expired");
                    }
                }
            }
        }
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private void append(HttpExchange call) throws IOException {
        Map<String, String> query = Http.query(call);
        byte[] body = call.getRequestBody().readAllBytes();
        Clock.sleep(ANSWER_MILLIS);
        String name = query.get("topic");
        if (name.equals("keyed.op") || name.equals("keyed.servers")) {
            Http.reply(call, 403, Http.object());
            return;
        }
        int status;
        ObjectNode answer = Http.object();
        synchronized (this) {
            status = append(topic(name), query, decode(body), answer);
            notifyAll();
        }
        Http.reply(call, status, answer);
    }

    private int append(
            Topic topic, Map<String, String> query, List<Entry> entries, ObjectNode answer) {
        long end = topic.mEntries.size();
        String at = query.get("at");
        if (at != null && Long.parseLong(at) != end) {
            answer.put("end_offset", end);
            return 412;
        }
        Producer producer = null;
        long sequence = -1;
        if (query.containsKey("producer")) {
            producer =
                    topic.mProducers.computeIfAbsent(query.get("producer"), key -> new Producer());
            long epoch = Long.parseLong(query.get("epoch"));
            if (epoch < producer.mEpoch) {
                answer.put("reason", "fenced");
                return 409;
            }
            if (epoch > producer.mEpoch) {
                producer.mEpoch = epoch;
                producer.mNextSequence = -1;
                producer.mRecent.clear();
            }
            if (query.containsKey("sequence")) {
                sequence = Long.parseLong(query.get("sequence"));
                long[] first = producer.mRecent.get(sequence);
                if (first != null) {
                    answer.put("offset", first[0]).put("end_offset", first[1]);
                    return 200;
                }
                if (producer.mNextSequence >= 0 && sequence != producer.mNextSequence) {
                    answer.put("reason", "seq").put("sequence", producer.mNextSequence);
                    return 409;
                }
            }
        }
        topic.mEntries.addAll(entries);
        long newEnd = topic.mEntries.size();
        if (producer != null && sequence >= 0) {
            producer.mNextSequence = sequence + 1;
            producer.mRecent.put(sequence, new long[] {end, newEnd});
            producer.mRecent.remove(sequence - 5);
        }
        answer.put("offset", end).put("end_offset", newEnd);
        return 200;
    }

    private static List<Entry> decode(byte[] body) {
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<Entry> entries = new ArrayList<>();
        while (buffer.remaining() >= 4) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            int keyLength = record[0] & 0xff;
            entries.add(
                    new Entry(
                            new String(record, 1, keyLength, StandardCharsets.UTF_8),
                            Arrays.copyOfRange(record, 1 + keyLength, record.length)));
        }
        return entries;
    }

    private void read(HttpExchange call) throws IOException {
        Map<String, String> query = Http.query(call);
        int from = Integer.parseInt(query.get("from"));
        long waitMillis = Long.parseLong(query.getOrDefault("wait_ms", "0"));
        int maxBytes = 1024 * Integer.parseInt(query.getOrDefault("max_kb", "1024"));
        Clock.sleep(ANSWER_MILLIS);
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            long until = System.nanoTime() / 1_000_000 + waitMillis;
            while (topic.mEntries.size() <= from) {
                long left = until - System.nanoTime() / 1_000_000;
                if (left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    break;
                }
            }
            bytes.writeBytes(
                    ByteBuffer.allocate(16).putLong(topic.mEntries.size()).putLong(0).array());
            for (int i = from; i < topic.mEntries.size() && bytes.size() < maxBytes; i++) {
                Entry entry = topic.mEntries.get(i);
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                int length = 1 + key.length + entry.value().length;
                bytes.writeBytes(ByteBuffer.allocate(4).putInt(length).array());
                bytes.write(key.length);
                bytes.writeBytes(key);
                bytes.writeBytes(entry.value());
            }
        }
        Http.reply(call, 200, "application/octet-stream", bytes.toByteArray());
    }

    private void newest(HttpExchange call) throws IOException {
        Map<String, String> query = Http.query(call);
        Clock.sleep(ANSWER_MILLIS);
        ObjectNode answer = Http.object();
        synchronized (this) {
            Topic topic = topic(query.get("topic"));
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int i = 0; i < topic.mEntries.size(); i++) {
                Entry entry = topic.mEntries.get(i);
                if (entry.value().length == 0) {
                    newest.remove(entry.key());
                } else {
                    newest.put(entry.key(), i);
                }
            }
            ArrayNode items = answer.putArray("items");
            boolean more = false;
            for (Map.Entry<String, Integer> item :
                    newest.tailMap(query.getOrDefault("depends_on", ""), false).entrySet()) {
                if (items.size() == PAGE_COUNT) {
                    more = true;
                    break;
                }
                Entry entry = topic.mEntries.get(item.getValue());
                items.addObject()
                        .put("key", entry.key())
                        .put("value", Base64.getEncoder().encodeToString(entry.value()))
                        .put("offset", item.getValue());
            }
            answer.put("has_more", more).put("end_offset", topic.mEntries.size());
        }
        Http.reply(call, 200, answer);
    }
}
