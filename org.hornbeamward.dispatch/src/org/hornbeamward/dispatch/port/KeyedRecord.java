package org.hornbeamward.dispatch.port;

import org.jspecify.annotations.Nullable;

/**
 * A record of a keyed topic.
 *
 * @param key key in the topic
 * @param value value of the key; null removes the key
 */
public record KeyedRecord(String key, byte @Nullable [] value) {}
