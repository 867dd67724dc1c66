package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
import java.net.UnknownHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.pgm.settings.JsonDocuments;

/**
 * HTTP client of the admin API. Addresses are tried in order; a command keeps its command id, so
 * that a command that took effect at the first address is not executed twice.
 */
final class AdminClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Longer than an entry instance waits for its log record to be read back. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(15);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<HostPort> mAddresses;
    private final AsyncHttpClient mClient;

    private record Attempt(int exitCode, String kind, String message, JsonNode body) {}

    AdminClient(List<HostPort> addresses) {
        mAddresses = List.copyOf(addresses);
        mClient =
                Dsl.asyncHttpClient(
                        Dsl.config()
                                .setMaxRequestRetry(0)
                                .setConnectTimeout(CONNECT_TIMEOUT)
                                .setRequestTimeout(REQUEST_TIMEOUT)
                                .setReadTimeout(REQUEST_TIMEOUT)
                                .setIoThreadsCount(1));
    }

    /** Reads a view. */
    Either<CliFailure, JsonNode> get(String path) {
        return tryAddresses(address -> mClient.prepareGet(url(address, path)), false);
    }

    /** Sends a command whose body contains a command id. */
    Either<CliFailure, JsonNode> post(String path, ObjectNode body) {
        String json = JsonDocuments.compact(body);
        return tryAddresses(
                address ->
                        mClient.preparePost(url(address, path))
                                .setHeader("Content-Type", "application/json")
                                .setBody(json),
                true);
    }

    @Override
    public void close() {
        try {
            mClient.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Builds the request for one address. */
    private interface RequestFactory {
        BoundRequestBuilder create(HostPort address);
    }

    private Either<CliFailure, JsonNode> tryAddresses(RequestFactory factory, boolean isCommand) {
        List<String> failures = new ArrayList<>();
        boolean outcomeUnknown = false;
        for (HostPort address : mAddresses) {
            Attempt attempt = attempt(factory.create(address), isCommand);
            switch (attempt.exitCode()) {
                case ExitCodes.DONE -> {
                    return Either.right(attempt.body());
                }
                case ExitCodes.UNREACHABLE -> failures.add(address + ": " + attempt.message());
                case ExitCodes.OUTCOME_UNKNOWN -> {
                    outcomeUnknown = true;
                    failures.add(address + ": " + attempt.message());
                }
                default -> {
                    return Either.left(
                            new CliFailure(attempt.exitCode(), attempt.kind(), attempt.message()));
                }
            }
        }
        String allFailures = String.join("; ", failures);
        return Either.left(
                outcomeUnknown
                        ? new CliFailure(
                                ExitCodes.OUTCOME_UNKNOWN, "RequestOutcomeUnknown", allFailures)
                        : new CliFailure(
                                ExitCodes.UNREACHABLE,
                                "Unreachable",
                                allFailures
                                        + "; check the address, or name another one with --admin"));
    }

    private static Attempt attempt(BoundRequestBuilder request, boolean isCommand) {
        // A read changes nothing, so a lost response leaves no unknown outcome.
        int lostResponseCode = isCommand ? ExitCodes.OUTCOME_UNKNOWN : ExitCodes.UNREACHABLE;
        try {
            return parseResponse(request.execute().get(), lostResponseCode);
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            boolean notSent =
                    cause instanceof ConnectException || cause instanceof UnknownHostException;
            return failedAttempt(notSent ? ExitCodes.UNREACHABLE : lostResponseCode, messageOf(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failedAttempt(lostResponseCode, "interrupted");
        }
    }

    private static Attempt parseResponse(Response response, int lostResponseCode) {
        JsonNode body = JsonDocuments.object();
        try {
            if (response.hasResponseBody()) {
                body = MAPPER.readTree(response.getResponseBody());
            }
        } catch (JsonProcessingException e) {
            return failedAttempt(
                    lostResponseCode, "the answer is no JSON; is this the admin address?");
        }
        int status = response.getStatusCode();
        if (status == 200) {
            return new Attempt(ExitCodes.DONE, "", "", body);
        }
        String message = body.path("message").asText("status " + status);
        return new Attempt(
                exitCodeOf(status, lostResponseCode),
                body.path("kind").asText("Http" + status),
                message,
                body);
    }

    private static int exitCodeOf(int status, int lostResponseCode) {
        return switch (status) {
            case 404, 422 -> ExitCodes.REFUSED;
            case 400, 405, 413 -> ExitCodes.BAD_INPUT;
            case 409 -> ExitCodes.VERSION_CONFLICT;
            case 503 -> ExitCodes.UNREACHABLE;
            default -> lostResponseCode;
        };
    }

    private static Attempt failedAttempt(int exitCode, String message) {
        return new Attempt(exitCode, "Unreachable", message, JsonDocuments.object());
    }

    private static String messageOf(ExecutionException e) {
        Throwable cause = e.getCause();
        String message = cause == null ? null : cause.getMessage();
        return message == null ? String.valueOf(cause) : message;
    }

    private static String url(HostPort address, String path) {
        return "http://" + address + path;
    }
}
