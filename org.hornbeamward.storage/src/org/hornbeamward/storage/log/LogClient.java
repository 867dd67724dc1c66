package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.errors.HornbeamwardError;

/**
 * The platform's append-only log service. No method blocks. A returned future never completes
 * exceptionally; failures are {@link org.hornbeamward.errors.LogUnavailable}, {@link
 * org.hornbeamward.errors.LogRetentionPassed}, {@link org.hornbeamward.errors.MalformedRecord} or
 * {@link org.hornbeamward.errors.OversizedInput}. Safe for use by any thread.
 */
public interface LogClient {
    /** Largest record in bytes. */
    int MAX_RECORD_BYTES = 256 * 1024;

    /**
     * Appends a record. After any error other than {@code OversizedInput} the record may have been
     * appended.
     *
     * @param stream name of the stream
     * @param record the record, at most {@link #MAX_RECORD_BYTES}; it must not be changed later
     * @return the record's offset
     */
    CompletableFuture<Either<HornbeamwardError, Long>> append(String stream, byte[] record);

    /**
     * Reads records. Returns at least one record if there is one at the offset, even if it is
     * larger than the size asked for.
     *
     * @param stream name of the stream
     * @param fromOffset offset of the first record
     * @param waitMillis longest time to wait for a record at that offset
     * @param maxBytes size of the records after which the answer ends
     * @return the records and the bounds of the stream
     */
    CompletableFuture<Either<HornbeamwardError, LogRead>> read(
            String stream, long fromOffset, int waitMillis, int maxBytes);

    /**
     * Asks for the readable part of a stream.
     *
     * @param stream name of the stream
     * @return its bounds
     */
    CompletableFuture<Either<HornbeamwardError, LogBounds>> bounds(String stream);
}
