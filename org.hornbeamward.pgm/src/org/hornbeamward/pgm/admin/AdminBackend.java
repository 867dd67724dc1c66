package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.YearMonth;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.CancelJob;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.command.ReleaseWorker;
import org.hornbeamward.command.SubmitJob;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.JobId;

/**
 * Operations of an entry process that the admin API calls. Methods are called on an event loop
 * thread and must not block. A command completes after its record has been read back from the log,
 * with the token of the accepted command; a repeated command id completes with the result of the
 * first execution. {@link org.hornbeamward.errors.RequestOutcomeUnknown} means that the command may
 * have taken effect.
 */
public interface AdminBackend {
    /**
     * Returns the configuration in force and the versions in force at the members.
     *
     * @return {@link StateViews#config}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> config();

    /**
     * Returns the accepted changes of the configuration that this process has applied.
     *
     * @return {@link ConfigHistory#view}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> configHistory();

    /**
     * Changes the configuration.
     *
     * @param command the validated command
     * @return the new version
     */
    CompletionStage<Either<HornbeamwardError, Long>> publishConfig(PublishConfig command);

    /**
     * Returns the failure domains.
     *
     * @return {@link StateViews#domains}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> domains();

    /**
     * Takes a failure domain out of service.
     *
     * @param command the validated command
     * @return the domain's new version
     */
    CompletionStage<Either<HornbeamwardError, Long>> takeOutDomain(TakeOutDomain command);

    /**
     * Brings a failure domain back into service.
     *
     * @param command the validated command
     * @return the domain's new version
     */
    CompletionStage<Either<HornbeamwardError, Long>> bringBackDomain(BringBackDomain command);

    /**
     * Queues a job.
     *
     * @param command the validated command
     * @return the token of the submission
     */
    CompletionStage<Either<HornbeamwardError, Long>> submitJob(SubmitJob command);

    /**
     * Returns the jobs.
     *
     * @return {@link StateViews#jobs}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> jobs();

    /**
     * Returns one job with the state of each of its tasks.
     *
     * @param job the job
     * @return {@link StateViews#job}, or empty if the job is unknown
     */
    CompletionStage<Either<HornbeamwardError, Optional<JsonNode>>> job(JobId job);

    /**
     * Cancels a job.
     *
     * @param command the validated command
     * @return the token of the cancellation
     */
    CompletionStage<Either<HornbeamwardError, Long>> cancelJob(CancelJob command);

    /**
     * Returns the workers.
     *
     * @return {@link StateViews#workers}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> workers();

    /**
     * Ends a worker's quarantine.
     *
     * @param command the validated command
     * @return the token of the release
     */
    CompletionStage<Either<HornbeamwardError, Long>> releaseWorker(ReleaseWorker command);

    /**
     * Returns the entry instances that are members.
     *
     * @return {@link StateViews#members}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> members();

    /**
     * Returns the review figures of a month.
     *
     * @param month the month in UTC
     * @return {@link StateViews#review}
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> review(YearMonth month);

    /**
     * Returns the state of the process for debugging.
     *
     * @return {@link StateViews#dump}, extended with the fields that the process adds
     */
    CompletionStage<Either<HornbeamwardError, JsonNode>> state();

    /**
     * Returns why this process should not receive requests yet. Called frequently; must not block.
     *
     * @return empty if ready, otherwise the reason
     */
    Optional<String> notReadyReason();
}
