package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.errors.HornbeamwardError;

/**
 * Client of the platform's append-only log service. No method blocks. A returned future never
 * completes exceptionally; failures are {@link org.hornbeamward.errors.LogUnavailable}, {@link
 * org.hornbeamward.errors.LogRetentionPassed}, {@link org.hornbeamward.errors.MalformedRecord} or
 * {@link org.hornbeamward.errors.OversizedInput}. Safe for use by any thread.
 */
public interface LogClient {
    /** Maximum size of a record in bytes. */
    int MAX_RECORD_BYTES = 256 * 1024;

    /**
     * Appends a record. After any error other than {@code OversizedInput} the record may have been
     * stored.
     *
     * @param stream name of the stream
     * @param record the record, at most {@link #MAX_RECORD_BYTES}; must not be modified afterwards
     * @return the record's offset
     */
    CompletableFuture<Either<HornbeamwardError, Long>> append(String stream, byte[] record);

    /**
     * Reads records. Returns at least one record if there is one at the offset, even if it is
     * larger than {@code maxBytes}.
     *
     * @param stream name of the stream
     * @param fromOffset offset of the first record
     * @param waitMillis maximum time to wait for a record at that offset (long poll)
     * @param maxBytes total size at which no further records are added to the result
     * @return the records and the bounds of the stream
     */
    CompletableFuture<Either<HornbeamwardError, LogRead>> read(
            String stream, long fromOffset, int waitMillis, int maxBytes);

    /**
     * Requests the readable offset range of a stream.
     *
     * @param stream name of the stream
     * @return its bounds
     */
    CompletableFuture<Either<HornbeamwardError, LogBounds>> bounds(String stream);
}
