package org.hornbeamward.storage.log;

import java.util.List;

/**
 * Encodes batches of commands into log records. Called by the appender's thread only.
 *
 * @param <C> type of the commands
 */
@FunctionalInterface
public interface BatchEncoder<C> {
    /**
     * Encodes one batch.
     *
     * @param sequence sequence of the batch, increasing by one from 1
     * @param commands 1 to {@link BatchAppender#MAX_COMMANDS} commands in the order in which they
     *     were queued
     * @return the record; if it is larger than {@link LogClient#MAX_RECORD_BYTES}, the method is
     *     called again with fewer commands
     */
    byte[] encode(long sequence, List<C> commands);
}
