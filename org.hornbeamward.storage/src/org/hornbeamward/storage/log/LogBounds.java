package org.hornbeamward.storage.log;

/**
 * The readable part of a stream.
 *
 * @param earliestOffset oldest offset that can be read
 * @param endOffset offset of the next record to be appended
 */
public record LogBounds(long earliestOffset, long endOffset) {}
