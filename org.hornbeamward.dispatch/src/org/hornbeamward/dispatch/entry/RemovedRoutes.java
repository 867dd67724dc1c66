package org.hornbeamward.dispatch.entry;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.lib.JobId;
import org.jspecify.annotations.Nullable;

/**
 * Finds the queues of jobs whose routes the configuration in force no longer has, or gives to other
 * queues. Such a route serves only requests for the jobs that it has. Runs on the loop.
 */
public final class RemovedRoutes {
    /** How long a request for an unknown job waits for an update from the leader. */
    private static final long UNKNOWN_JOB_WAIT_MILLIS = 250;

    private static final long RETRY_AFTER_MILLIS = 1_000;

    /** Whether a job was accepted on a route that has been removed. */
    public sealed interface Lookup {
        /**
         * It was.
         *
         * @param queue queue of the job, as configured when one of its jobs was accepted
         */
        record Found(QueueConfig queue) implements Lookup {}

        /** It was not. */
        record NoSuchJob() implements Lookup {}

        /**
         * It is not known at present.
         *
         * @param reason why
         * @param retryAfterMillis time after which the caller may try again
         */
        record Unavailable(String reason, long retryAfterMillis) implements Lookup {}
    }

    private final Loop mLoop;
    private final StatusTable mStatus;
    private final Supplier<@Nullable ClusterConfig> mConfig;
    private final Predicate<JobId> mMayBeUnreported;

    /**
     * Creates the finder.
     *
     * @param loop event loop that provides the timers
     * @param status the known jobs
     * @param config returns the configuration in force
     * @param mayBeUnreported returns whether a job may exist whose accepted route the table lacks
     */
    RemovedRoutes(
            Loop loop,
            StatusTable status,
            Supplier<@Nullable ClusterConfig> config,
            Predicate<JobId> mayBeUnreported) {
        mLoop = loop;
        mStatus = status;
        mConfig = config;
        mMayBeUnreported = mayBeUnreported;
    }

    /**
     * Finds the queue of a known job whose route has been removed or now leads to another queue:
     * that of another name, or with a longer or a shorter prefix.
     *
     * @param host host name of the request, without port
     * @param pathPrefix path of the request up to the id
     * @param job id of the job
     * @return the queue; empty if the route still leads to it, or the job was not accepted on it
     */
    public Optional<QueueConfig> find(String host, String pathPrefix, JobId job) {
        ClusterConfig config = mConfig.get();
        return config == null
                ? Optional.empty()
                : mStatus.acceptedQueue(job, host, pathPrefix)
                        .filter(queue -> !leadsTo(config, host, pathPrefix, job, queue));
    }

    private static boolean leadsTo(
            ClusterConfig config, String host, String pathPrefix, JobId job, QueueConfig queue) {
        return config.route(host, pathPrefix + job)
                .filter(
                        routed ->
                                routed.name().equals(queue.name())
                                        && routed.pathPrefix().equals(pathPrefix))
                .isPresent();
    }

    /**
     * Finds the queue of a job on a route that is not configured. The leader may not have reported
     * yet a job that another entry has just accepted.
     *
     * @param host host name of the request, without port
     * @param pathPrefix path of the request up to the id
     * @param job id of the job
     * @return the queue, or why there is none
     */
    public CompletableFuture<Lookup> await(String host, String pathPrefix, JobId job) {
        CompletableFuture<Lookup> answer = new CompletableFuture<>();
        mLoop.schedule(
                mStatus.get(job) == null ? UNKNOWN_JOB_WAIT_MILLIS : 0,
                () -> answer.complete(lookUp(host, pathPrefix, job)));
        return answer;
    }

    private Lookup lookUp(String host, String pathPrefix, JobId job) {
        Optional<QueueConfig> queue = find(host, pathPrefix, job);
        if (queue.isPresent()) {
            return new Lookup.Found(queue.get());
        }
        return mMayBeUnreported.test(job)
                ? new Lookup.Unavailable(
                        "the leader has not reported all jobs yet", RETRY_AFTER_MILLIS)
                : new Lookup.NoSuchJob();
    }
}
