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
 * Calls the admin API. Addresses are tried in turn; a command keeps its command id, so that a
 * command that took effect at the first address is not done twice.
 */
final class AdminClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    /** Above the time that an entry instance waits for its log record to be read back. */
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
        return tryInTurn(address -> mClient.prepareGet(url(address, path)), false);
    }

    /** Runs a command whose body holds a command id. */
    Either<CliFailure, JsonNode> post(String path, ObjectNode body) {
        String json = JsonDocuments.compact(body);
        return tryInTurn(
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

    private Either<CliFailure, JsonNode> tryInTurn(RequestFactory factory, boolean command) {
        List<String> failures = new ArrayList<>();
        boolean unknown = false;
        for (HostPort address : mAddresses) {
            Attempt attempt = attempt(factory.create(address), command);
            switch (attempt.exitCode()) {
                case ExitCodes.DONE -> {
                    return Either.right(attempt.body());
                }
                case ExitCodes.UNREACHABLE -> failures.add(address + ": " + attempt.message());
                case ExitCodes.OUTCOME_UNKNOWN -> {
                    unknown = true;
                    failures.add(address + ": " + attempt.message());
                }
                default -> {
                    return Either.left(
                            new CliFailure(attempt.exitCode(), attempt.kind(), attempt.message()));
                }
            }
        }
        String all = String.join("; ", failures);
        return Either.left(
                unknown
                        ? new CliFailure(ExitCodes.OUTCOME_UNKNOWN, "RequestOutcomeUnknown", all)
                        : new CliFailure(
                                ExitCodes.UNREACHABLE,
                                "Unreachable",
                                all + "; check the address, or name another one with --admin"));
    }

    private static Attempt attempt(BoundRequestBuilder request, boolean command) {
        // A read changes nothing, so its lost answer is no unknown outcome.
        int lost = command ? ExitCodes.OUTCOME_UNKNOWN : ExitCodes.UNREACHABLE;
        try {
            return answered(request.execute().get(), lost);
        } catch (ExecutionException e) {
            Throwable cause = e.getCause();
            boolean notSent =
                    cause instanceof ConnectException || cause instanceof UnknownHostException;
            return failed(notSent ? ExitCodes.UNREACHABLE : lost, textOf(e));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return failed(lost, "interrupted");
        }
    }

    private static Attempt answered(Response response, int lost) {
        JsonNode body = JsonDocuments.object();
        try {
            if (response.hasResponseBody()) {
                body = MAPPER.readTree(response.getResponseBody());
            }
        } catch (JsonProcessingException e) {
            return failed(lost, "the answer is no JSON; is this the admin address?");
        }
        int status = response.getStatusCode();
        if (status == 200) {
            return new Attempt(ExitCodes.DONE, "", "", body);
        }
        String message = body.path("message").asText("status " + status);
        return new Attempt(
                exitCodeOf(status, lost), body.path("kind").asText("Http" + status), message, body);
    }

    private static int exitCodeOf(int status, int lost) {
        return switch (status) {
            case 404, 422 -> ExitCodes.REFUSED;
            case 400, 405, 413 -> ExitCodes.BAD_INPUT;
            case 409 -> ExitCodes.VERSION_CONFLICT;
            case 503 -> ExitCodes.UNREACHABLE;
            default -> lost;
        };
    }

    private static Attempt failed(int exitCode, String message) {
        return new Attempt(exitCode, "Unreachable", message, JsonDocuments.object());
    }

    private static String textOf(ExecutionException e) {
        Throwable cause = e.getCause();
        String message = cause == null ? null : cause.getMessage();
        return message == null ? String.valueOf(cause) : message;
    }

    private static String url(HostPort address, String path) {
        return "http://" + address + path;
    }
}
