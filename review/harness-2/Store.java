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
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: a log with keyed topics of one partition each. */
final class Store {
    static final int RECORD_BYTES = 262_144;
    static final int CALL_BYTES = 2_097_152;
    private static final long ANSWER_MILLIS = 4;
    private static final int PAGE_SIZE = 500;

    private record Reply(int status, String body) {}

    private static final class Producer {
        private long mEpoch = -1;
        private long mNext = -1;
        private final Map<Long, Reply> mReplies = new HashMap<>();
    }

    private static final class Topic {
        private final List<byte[]> mRecords = new ArrayList<>();
        private final Map<String, Producer> mProducers = new HashMap<>();
    }

    private final Map<String, Topic> mTopics = new HashMap<>();
    private final Map<String, Long> mHeardMillis = new HashMap<>();
    private final HttpServer mServer;

    Store() throws IOException {
        mServer =
                Web.listen(
                        "127.0.0.1",
                        0,
                        Map.of(
                                "/hornbeamward/log-append", this::append,
                                "/hornbeamward/log-read", this::read,
                                "/hornbeamward/log-newest", this::newest));
        Thread.ofVirtual().start(this::expire);
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Writes a record of the operator or of a minion; an empty value drops the key. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream record = new ByteArrayOutputStream();
        record.write(name.length);
        record.writeBytes(name);
        record.writeBytes(value.getBytes(StandardCharsets.UTF_8));
        topic(topic).mRecords.add(record.toByteArray());
        if (topic.equals("keyed.servers") && !value.isEmpty()) {
            mHeardMillis.put(key, Log.millis());
        }
        notifyAll();
    }

    private void expire() {
        while (true) {
            Log.sleep(100);
            synchronized (this) {
                for (Map.Entry<String, Long> heard : Map.copyOf(mHeardMillis).entrySet()) {
                    if (Log.millis() - heard.getValue() > 3 * Minion.HEARTBEAT_MILLIS) {
                        mHeardMillis.remove(heard.getKey());
                        put("keyed.servers", heard.getKey(), "");
                    }
                }
            }
        }
    }

    private Topic topic(String name) {
        return mTopics.computeIfAbsent(name, key -> new Topic());
    }

    private void append(HttpExchange call) throws IOException {
        Map<String, String> query = Web.query(call);
        byte[] body = call.getRequestBody().readAllBytes();
        ByteBuffer buffer = ByteBuffer.wrap(body);
        List<byte[]> records = new ArrayList<>();
        int largest = 0;
        while (buffer.remaining() >= 4) {
            byte[] record = new byte[buffer.getInt()];
            buffer.get(record);
            records.add(record);
            largest = Math.max(largest, record.length);
        }
        Log.sleep(ANSWER_MILLIS);
        Reply reply;
        if (largest > RECORD_BYTES || body.length > CALL_BYTES) {
            String what = "a record of " + largest + " bytes in a call of " + body.length;
            Log.line("store", "refuses with 413 " + what + " to " + query.get("topic"));
            reply = new Reply(413, "{\"error\":" + Json.quote(what) + "}");
        } else {
            synchronized (this) {
                reply = append(topic(query.get("topic")), query, records);
                notifyAll();
            }
        }
        Web.reply(call, reply.status(), reply.body());
    }

    private static Reply append(Topic topic, Map<String, String> query, List<byte[]> records) {
        int offset = topic.mRecords.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != offset) {
            return new Reply(412, "{\"end_offset\":" + offset + "}");
        }
        Reply appended =
                new Reply(
                        200,
                        "{\"offset\":" + offset + ",\"end_offset\":" + (offset + records.size())
                                + "}");
        if (query.containsKey("producer")) {
            Producer producer =
                    topic.mProducers.computeIfAbsent(query.get("producer"), key -> new Producer());
            long epoch = Long.parseLong(query.getOrDefault("epoch", "0"));
            if (epoch < producer.mEpoch) {
                return new Reply(409, "{\"reason\":\"fenced\"}");
            }
            if (epoch > producer.mEpoch) {
                producer.mEpoch = epoch;
                producer.mNext = -1;
                producer.mReplies.clear();
            }
            if (!records.isEmpty() && query.containsKey("sequence")) {
                long sequence = Long.parseLong(query.get("sequence"));
                Reply earlier = producer.mReplies.get(sequence);
                if (earlier != null && sequence >= producer.mNext - 5) {
                    return earlier;
                }
                if (producer.mNext >= 0 && sequence != producer.mNext) {
                    return new Reply(
                            409, "{\"reason\":\"seq\",\"sequence\":" + producer.mNext + "}");
                }
                producer.mNext = sequence + 1;
                producer.mReplies.put(sequence, appended);
            }
        }
        topic.mRecords.addAll(records);
        return appended;
    }

    private void read(HttpExchange call) throws IOException {
        Map<String, String> query = Web.query(call);
        int from = Integer.parseInt(query.getOrDefault("from", "0"));
        int most = 1024 * Integer.parseInt(query.getOrDefault("max_kb", "1024"));
        long until = Log.millis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        Log.sleep(ANSWER_MILLIS);
        ByteArrayOutputStream answer = new ByteArrayOutputStream();
        synchronized (this) {
            List<byte[]> records = topic(query.get("topic")).mRecords;
            while (records.size() <= from && Log.millis() < until) {
                try {
                    wait(Math.max(1, until - Log.millis()));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            answer.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).array());
            for (int i = from; i < records.size() && answer.size() < most; i++) {
                byte[] record = records.get(i);
                answer.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
                answer.writeBytes(record);
            }
        }
        Web.reply(call, 200, answer.toByteArray());
    }

    private void newest(HttpExchange call) throws IOException {
        Map<String, String> query = Web.query(call);
        Log.sleep(ANSWER_MILLIS);
        TreeMap<String, String> newest = new TreeMap<>();
        int end;
        synchronized (this) {
            List<byte[]> records = topic(query.get("topic")).mRecords;
            end = records.size();
            for (int i = 0; i < end; i++) {
                byte[] record = records.get(i);
                int length = record[0] & 0xff;
                String key = new String(record, 1, length, StandardCharsets.UTF_8);
                if (record.length == 1 + length) {
                    newest.remove(key);
                    continue;
                }
                byte[] value = Arrays.copyOfRange(record, 1 + length, record.length);
                newest.put(
                        key,
                        "{\"key\":" + Json.quote(key) + ",\"value\":\""
                                + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + i
                                + "}");
            }
        }
        List<String> items = new ArrayList<>();
        int size = 0;
        boolean more = false;
        // The wire's name for the key after which the page begins.
        for (String item : newest.tailMap(query.getOrDefault("depends_on", ""), false).values()) {
            if (items.size() == PAGE_SIZE || (size + item.length() > 1_000_000 && size > 0)) {
                more = true;
                break;
            }
            items.add(item);
            size += item.length();
        }
        Web.reply(
                call,
                200,
                "{\"items\":[" + String.join(",", items) + "],\"has_more\":" + more
                        + ",\"end_offset\":" + end + "}");
    }
}
