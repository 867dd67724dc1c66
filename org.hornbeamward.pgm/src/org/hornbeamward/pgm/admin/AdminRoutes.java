package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.DateTimeException;
import java.time.YearMonth;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.InvalidSetting;
import org.hornbeamward.lib.JobId;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;

/**
 * The routes of the admin API. Each validates its input, calls the backend and builds the reply.
 */
final class AdminRoutes {
    private final AdminBackend mBackend;

    private AdminRoutes(AdminBackend backend) {
        mBackend = backend;
    }

    static List<AdminRoute> of(AdminBackend backend) {
        AdminRoutes routes = new AdminRoutes(backend);
        return List.of(
                view("/v1/config", backend::config),
                view("/v1/config/history", backend::configHistory),
                AdminRoute.fixed("POST", "/v1/config", routes::publish),
                view("/v1/domains", backend::domains),
                AdminRoute.withId("POST", "/v1/domains/", "/out", routes::takeOut),
                AdminRoute.withId("POST", "/v1/domains/", "/back", routes::bringBack),
                view("/v1/jobs", backend::jobs),
                AdminRoute.fixed("POST", "/v1/jobs", routes::submit),
                AdminRoute.withId("GET", "/v1/jobs/", "", routes::job),
                AdminRoute.withId("POST", "/v1/jobs/", "/cancel", routes::cancel),
                view("/v1/workers", backend::workers),
                AdminRoute.withId("POST", "/v1/workers/", "/release", routes::release),
                view("/v1/members", backend::members),
                AdminRoute.fixed("GET", "/v1/review", routes::review),
                view("/v1/state", backend::state));
    }

    private static AdminRoute view(
            String path, Supplier<CompletionStage<Either<HornbeamwardError, JsonNode>>> view) {
        // Views complete on the thread that applies the log. Serialize them on another thread, so
        // that a large view does not delay it.
        return AdminRoute.fixed(
                "GET", path, (call, id) -> view.get().thenApplyAsync(AdminRoutes::viewReply));
    }

    private CompletionStage<HttpReply> publish(HttpCall call, String id) {
        return runIfValid(
                CommandBodies.publish(call.body()),
                command -> mBackend.publishConfig(command).thenApply(AdminRoutes::versionReply));
    }

    private CompletionStage<HttpReply> takeOut(HttpCall call, String id) {
        return runIfValid(
                CommandBodies.takeOut(id, call.body()),
                command -> mBackend.takeOutDomain(command).thenApply(AdminRoutes::versionReply));
    }

    private CompletionStage<HttpReply> bringBack(HttpCall call, String id) {
        return runIfValid(
                CommandBodies.bringBack(id, call.body()),
                command -> mBackend.bringBackDomain(command).thenApply(AdminRoutes::versionReply));
    }

    private CompletionStage<HttpReply> submit(HttpCall call, String id) {
        return runIfValid(
                CommandBodies.submit(call.body()),
                command -> {
                    String job = command.job().id().value();
                    return mBackend.submitJob(command)
                            .thenApply(result -> submissionReply(job, result));
                });
    }

    private CompletionStage<HttpReply> job(HttpCall call, String id) {
        return runIfValid(
                JobId.parse(id),
                job ->
                        mBackend.job(job)
                                .thenApply(
                                        result ->
                                                result.fold(
                                                        Problems::reply,
                                                        found -> jobReply(job, found))));
    }

    private CompletionStage<HttpReply> cancel(HttpCall call, String id) {
        return runIfValid(
                CommandBodies.cancel(id, call.body()),
                command ->
                        mBackend.cancelJob(command)
                                .thenApply(result -> idReply("job", id, result)));
    }

    private CompletionStage<HttpReply> release(HttpCall call, String id) {
        return runIfValid(
                CommandBodies.release(id, call.body()),
                command ->
                        mBackend.releaseWorker(command)
                                .thenApply(result -> idReply("worker", id, result)));
    }

    private CompletionStage<HttpReply> review(HttpCall call, String id) {
        return runIfValid(
                parseMonth(call.parameter("month")),
                month -> mBackend.review(month).thenApply(AdminRoutes::viewReply));
    }

    private static Either<InvalidSetting, YearMonth> parseMonth(Optional<String> text) {
        try {
            return Either.right(YearMonth.parse(text.orElse("")));
        } catch (DateTimeException e) {
            return Either.left(
                    new InvalidSetting("month", "must be a month such as month=2026-12"));
        }
    }

    private static <T> CompletionStage<HttpReply> runIfValid(
            Either<? extends HornbeamwardError, T> input,
            Function<T, CompletionStage<HttpReply>> operation) {
        return input.isLeft()
                ? CompletableFuture.completedStage(Problems.reply(input.getLeft()))
                : operation.apply(input.get());
    }

    private static HttpReply versionReply(Either<HornbeamwardError, Long> result) {
        return viewReply(result.map(version -> JsonDocuments.object().put("version", version)));
    }

    private static HttpReply submissionReply(String job, Either<HornbeamwardError, Long> result) {
        return viewReply(
                result.map(token -> JsonDocuments.object().put("job", job).put("token", token)));
    }

    private static HttpReply idReply(
            String key, String id, Either<HornbeamwardError, Long> result) {
        return viewReply(result.map(token -> JsonDocuments.object().put(key, id)));
    }

    private static HttpReply jobReply(JobId id, Optional<JsonNode> found) {
        return found.map(node -> HttpReply.json(200, JsonDocuments.compact(node)))
                .orElseGet(
                        () ->
                                Problems.reply(
                                        404,
                                        "NotFound",
                                        "no job " + id + "; list the jobs for their names"));
    }

    private static HttpReply viewReply(Either<HornbeamwardError, ? extends JsonNode> result) {
        return result.fold(
                Problems::reply, node -> HttpReply.json(200, JsonDocuments.compact(node)));
    }
}
