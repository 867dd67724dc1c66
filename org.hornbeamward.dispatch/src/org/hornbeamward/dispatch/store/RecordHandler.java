package org.hornbeamward.dispatch.store;

import java.util.List;
import java.util.Map;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/** Handles one record of a topic. */
@FunctionalInterface
public interface RecordHandler {
    /**
     * Handles a record.
     *
     * @param key key of the record
     * @param value its value; null if the key is removed
     */
    void handle(String key, byte @Nullable [] value);

    /**
     * Handles the newest records of a topic.
     *
     * @param newest the newest value of every key
     * @param handler called for each of them; a record for which it fails is skipped
     */
    static void handleAll(Map<String, byte[]> newest, RecordHandler handler) {
        newest.forEach((key, value) -> handleOrSkip(key, value, handler));
    }

    /**
     * Handles new records of a topic.
     *
     * @param records the records, oldest first
     * @param handler called for each of them; a record for which it fails is skipped
     */
    static void handleAll(List<KeyedRecord> records, RecordHandler handler) {
        records.forEach(record -> handleOrSkip(record.key(), record.value(), handler));
    }

    /**
     * Skips a record that cannot be handled, since it would hide those behind it from this and
     * every later process. A record may be nested so deeply that its decoding overflows the stack.
     */
    private static void handleOrSkip(String key, byte @Nullable [] value, RecordHandler handler) {
        try {
            handler.handle(key, value);
        } catch (RuntimeException | StackOverflowError e) {
            LogEvent.RECORD_SKIPPED.log(e, "record " + key + " cannot be handled");
        }
    }
}
