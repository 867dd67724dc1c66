package org.hornbeamward.storage.log;

/**
 * Offset range of the readable records of a stream.
 *
 * @param earliestOffset earliest readable offset
 * @param endOffset offset of the next record to be appended
 */
public record LogBounds(long earliestOffset, long endOffset) {}
