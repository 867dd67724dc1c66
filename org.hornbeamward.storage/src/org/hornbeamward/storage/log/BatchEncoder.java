package org.hornbeamward.storage.log;

import java.util.List;

/**
 * Encodes batches. Called by the appender's thread only.
 *
 * @param <C> type of the commands
 */
@FunctionalInterface
public interface BatchEncoder<C> {
    /**
     * Encodes one batch.
     *
     * @param sequence the batch sequence, 1, 2, 3 and so on
     * @param commands 1 to {@link BatchAppender#MAX_COMMANDS} commands in order
     * @return the record; if it is larger than {@link LogClient#MAX_RECORD_BYTES}, the method is
     *     called again with fewer commands
     */
    byte[] encode(long sequence, List<C> commands);
}
