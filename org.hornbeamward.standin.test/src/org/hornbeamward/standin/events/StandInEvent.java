package org.hornbeamward.standin.events;

import java.util.Map;

/**
 * One thing that a stand-in did.
 *
 * @param sequence 1, 2, 3 and so on
 * @param atNanos the stand-in's monotonic clock
 * @param kind short name in lower case
 * @param fields further fields, with values that JSON can hold
 */
public record StandInEvent(long sequence, long atNanos, String kind, Map<String, ?> fields) {}
