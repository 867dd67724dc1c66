package org.hornbeamward.storage.log;

/**
 * One record of a stream. The bytes are not copied and must not be modified.
 *
 * @param offset its offset, 0 or more
 * @param bytes its content
 */
public record LogRecord(long offset, byte[] bytes) {}
