package org.hornbeamward.storage.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.LogRetentionPassed;
import org.hornbeamward.errors.LogUnavailable;
import org.hornbeamward.errors.MalformedRecord;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.errors.PeerUnreachable;
import org.hornbeamward.storage.internal.HttpAnswer;
import org.hornbeamward.storage.internal.LimitedHttpClient;

/** The log service over its HTTP interface. */
public final class HttpLogClient implements LogClient, AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int SMALL_ANSWER_BYTES = 16 * 1024;
    // Room for offsets and array headers besides the records of a read.
    private static final int READ_OVERHEAD_BYTES = 256 * 1024;
    // Retention may advance between the two reads of a bounds request.
    private static final int BOUNDS_ATTEMPTS = 4;

    private final LimitedHttpClient mHttp;
    private final long mRequestTimeoutMillis;

    /**
     * Creates a client without connecting.
     *
     * @param host host name or address of the log service
     * @param port its port
     * @param requestTimeoutMillis longest time for a request besides the wait of a long poll
     */
    public HttpLogClient(String host, int port, long requestTimeoutMillis) {
        mHttp = new LimitedHttpClient("log-client", host, port, requestTimeoutMillis);
        mRequestTimeoutMillis = requestTimeoutMillis;
    }

    @Override
    public CompletableFuture<Either<HornbeamwardError, Long>> append(String stream, byte[] record) {
        if (record.length > MAX_RECORD_BYTES) {
            String what = "record for stream " + stream;
            return CompletableFuture.completedFuture(
                    Either.left(new OversizedInput(what, record.length, MAX_RECORD_BYTES)));
        }
        return mHttp.post(path(stream), record, mRequestTimeoutMillis, SMALL_ANSWER_BYTES)
                .thenApply(result -> result.mapLeft(this::unavailable))
                .thenApply(result -> result.flatMap(answer -> appended(stream, answer)));
    }

    @Override
    public CompletableFuture<Either<HornbeamwardError, LogRead>> read(
            String stream, long fromOffset, int waitMillis, int maxBytes) {
        String query =
                "?from=" + fromOffset + "&waitMillis=" + waitMillis + "&maxBytes=" + maxBytes;
        long limitBytes = (long) maxBytes + MAX_RECORD_BYTES + READ_OVERHEAD_BYTES;
        long timeoutMillis = mRequestTimeoutMillis + waitMillis;
        return mHttp.get(path(stream) + query, Map.of(), timeoutMillis, limitBytes)
                .thenApply(result -> result.mapLeft(this::unavailable))
                .thenApply(result -> result.flatMap(answer -> records(stream, fromOffset, answer)));
    }

    @Override
    public CompletableFuture<Either<HornbeamwardError, LogBounds>> bounds(String stream) {
        return bounds(stream, 0, BOUNDS_ATTEMPTS);
    }

    private CompletableFuture<Either<HornbeamwardError, LogBounds>> bounds(
            String stream, long fromOffset, int attempts) {
        return read(stream, fromOffset, 0, 1)
                .thenCompose(
                        result -> {
                            if (attempts > 1
                                    && result.isLeft()
                                    && result.getLeft() instanceof LogRetentionPassed passed) {
                                return bounds(stream, passed.earliestOffset(), attempts - 1);
                            }
                            return CompletableFuture.completedFuture(
                                    result.map(
                                            read ->
                                                    new LogBounds(
                                                            read.earliestOffset(),
                                                            read.endOffset())));
                        });
    }

    private static String path(String stream) {
        return "/streams/" + stream + "/records";
    }

    private HornbeamwardError unavailable(HornbeamwardError error) {
        return error instanceof PeerUnreachable unreachable
                ? new LogUnavailable(unreachable.address() + ": " + unreachable.detail())
                : error;
    }

    private Either<HornbeamwardError, Long> appended(String stream, HttpAnswer answer) {
        if (answer.status() != 200) {
            return Either.left(refused("append to " + stream, answer));
        }
        return offsetIn(answer.body(), "offset")
                .mapLeft(detail -> malformed("append to " + stream, detail));
    }

    private Either<HornbeamwardError, LogRead> records(
            String stream, long fromOffset, HttpAnswer answer) {
        if (answer.status() == 410) {
            return offsetIn(answer.body(), "earliestOffset")
                    .mapLeft(detail -> malformed("read of " + stream, detail))
                    .flatMap(earliest -> passed(stream, fromOffset, earliest));
        }
        if (answer.status() != 200) {
            return Either.left(refused("read of " + stream, answer));
        }
        return ReadAnswerCodec.decode(answer.body(), fromOffset)
                .mapLeft(detail -> malformed("read of " + stream + " at " + fromOffset, detail));
    }

    private Either<HornbeamwardError, LogRead> passed(String stream, long from, long earliest) {
        if (earliest <= from) {
            String detail = "earliest offset " + earliest + " is not after the offset asked for";
            return Either.left(malformed("read of " + stream + " at " + from, detail));
        }
        return Either.left(new LogRetentionPassed(stream, from, earliest));
    }

    private HornbeamwardError refused(String operation, HttpAnswer answer) {
        return new LogUnavailable(
                operation + " at " + mHttp.address() + " got status " + answer.status());
    }

    private HornbeamwardError malformed(String operation, String detail) {
        return new MalformedRecord(mHttp.address() + ", answer to " + operation, detail);
    }

    private static Either<String, Long> offsetIn(byte[] body, String key) {
        try {
            JsonNode value = JSON.readTree(body).path(key);
            if (value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0) {
                return Either.right(value.longValue());
            }
            return Either.left("expected a JSON object with a number '" + key + "' of 0 or more");
        } catch (IOException e) {
            return Either.left("expected JSON with '" + key + "'");
        }
    }

    /** Closes all connections; open requests fail with {@link LogUnavailable}. */
    @Override
    public void close() {
        mHttp.close();
    }
}
