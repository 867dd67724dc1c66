package org.hornbeamward.dispatch.port;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Spreads a value over several records of a keyed topic if it exceeds one. The first part has the
 * key of the value, and the others this key with {@code +1}, {@code +2} and so on. Parts that
 * follow each other are appended in one call ({@link Store#splitForAppend}), so that a reader finds
 * all of them or none. Parts of an earlier, longer value may remain behind them, so the value
 * itself must show where it ends.
 */
public final class ValueParts {
    /** Largest size of a value in bytes; it leaves room for the keys in one call. */
    public static final int MAX_BYTES = Store.MAX_APPEND_BYTES - 4_096;

    /** Largest size of a part in bytes; the key and its length take up the rest of the record. */
    static final int MAX_PART_BYTES = Store.MAX_RECORD_BYTES - 256;

    private static final char SEPARATOR = '+';

    private ValueParts() {}

    /**
     * Returns the records of a value.
     *
     * @param key key of the value: at most 250 ASCII characters, and no plus sign among them
     * @param value the value, of at most {@link #MAX_BYTES}
     * @return one record, or more if the value exceeds a record
     * @throws IllegalArgumentException if the value is too long
     */
    public static List<KeyedRecord> split(String key, byte[] value) {
        if (value.length > MAX_BYTES) {
            throw new IllegalArgumentException(key + " has " + value.length + " bytes");
        }
        List<KeyedRecord> parts = new ArrayList<>();
        int start = 0;
        do {
            int end = Math.min(value.length, start + MAX_PART_BYTES);
            String partKey = parts.isEmpty() ? key : key + SEPARATOR + parts.size();
            parts.add(new KeyedRecord(partKey, Arrays.copyOfRange(value, start, end)));
            start = end;
        } while (start < value.length);
        return parts;
    }

    /**
     * Returns the key of the value that a record holds a part of.
     *
     * @param key key of the record
     * @return the same key if it is that of a first part
     */
    public static String valueKey(String key) {
        int separator = key.indexOf(SEPARATOR);
        return separator < 0 ? key : key.substring(0, separator);
    }

    /** Returns the index after the parts of one value that begin at an index. */
    static int endOfParts(List<KeyedRecord> records, int start) {
        String key = valueKey(records.get(start).key());
        int end = start + 1;
        while (end < records.size()
                && records.get(end).value() != null
                && records.get(end).key().indexOf(SEPARATOR) >= 0
                && valueKey(records.get(end).key()).equals(key)) {
            end++;
        }
        return end;
    }

    /**
     * Joins the parts of every value.
     *
     * @param records values of the records by key
     * @return the values by their own keys, in the order of the first parts; bytes that an earlier,
     *     longer value has left may follow on each
     */
    public static Map<String, byte[]> join(Map<String, byte[]> records) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        records.forEach(
                (key, first) -> {
                    if (key.indexOf(SEPARATOR) >= 0) {
                        return;
                    }
                    byte[] part = records.get(key + SEPARATOR + 1);
                    if (part == null) {
                        values.put(key, first);
                        return;
                    }
                    ByteArrayOutputStream value = new ByteArrayOutputStream();
                    value.writeBytes(first);
                    for (int number = 2; part != null; number++) {
                        value.writeBytes(part);
                        part = records.get(key + SEPARATOR + number);
                    }
                    values.put(key, value.toByteArray());
                });
        return values;
    }
}
