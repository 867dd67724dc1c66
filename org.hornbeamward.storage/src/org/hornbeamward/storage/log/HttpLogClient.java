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
import org.hornbeamward.storage.internal.HttpResponse;
import org.hornbeamward.storage.internal.LimitedHttpClient;

/** {@link LogClient} that uses the HTTP interface of the log service. */
public final class HttpLogClient implements LogClient, AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int APPEND_RESPONSE_LIMIT_BYTES = 16 * 1024;
    // Allowance for offsets and array headers in addition to the records of a read.
    private static final int READ_OVERHEAD_BYTES = 256 * 1024;
    // Retention may advance between two reads of a bounds request.
    private static final int BOUNDS_ATTEMPTS = 4;

    private final LimitedHttpClient mHttp;
    private final long mRequestTimeoutMillis;

    /**
     * Creates a client without connecting.
     *
     * @param host host name or address of the log service
     * @param port its port
     * @param requestTimeoutMillis request timeout, in addition to the wait of a long poll
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
        return mHttp.post(path(stream), record, mRequestTimeoutMillis, APPEND_RESPONSE_LIMIT_BYTES)
                .thenApply(result -> result.mapLeft(this::toLogUnavailable))
                .thenApply(
                        result ->
                                result.flatMap(response -> decodeAppendResponse(stream, response)));
    }

    @Override
    public CompletableFuture<Either<HornbeamwardError, LogRead>> read(
            String stream, long fromOffset, int waitMillis, int maxBytes) {
        String query =
                "?from=" + fromOffset + "&waitMillis=" + waitMillis + "&maxBytes=" + maxBytes;
        long limitBytes = (long) maxBytes + MAX_RECORD_BYTES + READ_OVERHEAD_BYTES;
        long timeoutMillis = mRequestTimeoutMillis + waitMillis;
        return mHttp.get(path(stream) + query, Map.of(), timeoutMillis, limitBytes)
                .thenApply(result -> result.mapLeft(this::toLogUnavailable))
                .thenApply(
                        result ->
                                result.flatMap(
                                        response ->
                                                decodeReadResponse(stream, fromOffset, response)));
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

    private HornbeamwardError toLogUnavailable(HornbeamwardError error) {
        return error instanceof PeerUnreachable unreachable
                ? new LogUnavailable(unreachable.address() + ": " + unreachable.detail())
                : error;
    }

    private Either<HornbeamwardError, Long> decodeAppendResponse(
            String stream, HttpResponse response) {
        if (response.status() != 200) {
            return Either.left(unexpectedStatus("append to " + stream, response));
        }
        return parseOffset(response.body(), "offset")
                .mapLeft(detail -> malformed("append to " + stream, detail));
    }

    private Either<HornbeamwardError, LogRead> decodeReadResponse(
            String stream, long fromOffset, HttpResponse response) {
        if (response.status() == 410) {
            return parseOffset(response.body(), "earliestOffset")
                    .mapLeft(detail -> malformed("read of " + stream, detail))
                    .flatMap(earliest -> retentionPassed(stream, fromOffset, earliest));
        }
        if (response.status() != 200) {
            return Either.left(unexpectedStatus("read of " + stream, response));
        }
        return ReadResponseCodec.decode(response.body(), fromOffset)
                .mapLeft(detail -> malformed("read of " + stream + " at " + fromOffset, detail));
    }

    private Either<HornbeamwardError, LogRead> retentionPassed(
            String stream, long from, long earliest) {
        if (earliest <= from) {
            String detail = "earliest offset " + earliest + " is not after the requested offset";
            return Either.left(malformed("read of " + stream + " at " + from, detail));
        }
        return Either.left(new LogRetentionPassed(stream, from, earliest));
    }

    private HornbeamwardError unexpectedStatus(String operation, HttpResponse response) {
        return new LogUnavailable(
                operation + " at " + mHttp.address() + " returned status " + response.status());
    }

    private HornbeamwardError malformed(String operation, String detail) {
        return new MalformedRecord(mHttp.address() + ", response to " + operation, detail);
    }

    private static Either<String, Long> parseOffset(byte[] body, String key) {
        try {
            JsonNode value = JSON.readTree(body).path(key);
            if (value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= 0) {
                return Either.right(value.longValue());
            }
            return Either.left("expected a JSON object with an integer '" + key + "' of 0 or more");
        } catch (IOException e) {
            return Either.left("expected a JSON object with '" + key + "'");
        }
    }

    /** Closes all connections; open requests fail with {@link LogUnavailable}. */
    @Override
    public void close() {
        mHttp.close();
    }
}
