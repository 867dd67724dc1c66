package org.hornbeamward.dispatch.port;

import org.jspecify.annotations.Nullable;

/**
 * A record of a keyed topic.
 *
 * @param key key in the topic
 * @param value value of the key; null removes the key
 */
public record KeyedRecord(String key, byte @Nullable [] value) {
    /**
     * Returns the size of the record.
     *
     * @return bytes of the key, which has only ASCII characters, and of the value
     */
    public int byteCount() {
        byte[] bytes = value;
        return key.length() + (bytes == null ? 0 : bytes.length);
    }
}
