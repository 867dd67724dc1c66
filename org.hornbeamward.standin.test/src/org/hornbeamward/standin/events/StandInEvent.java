package org.hornbeamward.standin.events;

import java.util.Map;

/**
 * Event recorded by a stand-in.
 *
 * @param sequence sequence number, starting at 1
 * @param atNanos time on the monotonic clock of the stand-in's process
 * @param kind short name in lower case
 * @param fields further fields, with values that can be written as JSON
 */
public record StandInEvent(long sequence, long atNanos, String kind, Map<String, ?> fields) {}
