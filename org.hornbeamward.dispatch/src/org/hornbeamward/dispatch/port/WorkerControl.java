package org.hornbeamward.dispatch.port;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.hornbeamward.dispatch.job.TaskName;
import org.jspecify.annotations.Nullable;

/**
 * Orders to workers. Futures never complete exceptionally; errors are returned as values. They
 * complete on the event loop. An order without an answer may be carried out later, even after newer
 * ones.
 */
public interface WorkerControl {
    /** Why a worker rejected an order. */
    enum Rejection {
        /** The worker has seen a higher fencing token. */
        FENCED,
        /**
         * A run with the same or a higher attempt number has ended or was stopped on the worker.
         */
        SUPERSEDED,
        /** The order's deadline has passed on the worker's clock. */
        LATE,
        /** The worker lacks the capacity for the task. */
        NO_ROOM,
        /** The approval of the policy service is missing or no longer valid. */
        NOT_APPROVED,
        /** The worker cannot interpret the order. */
        MALFORMED
    }

    /**
     * An order to start a task.
     *
     * @param task task to start
     * @param attempt number of the run
     * @param payload payload of the job
     * @param deadlineClockMillis time on the worker's clock after which the task must not be
     *     started; the leases of all the worker's runs last at least as long
     * @param fencingToken the leader's epoch
     * @param checkpoint progress to resume from; empty for none
     * @param ticket approval of the policy service; empty for none
     */
    record StartOrder(
            TaskName task,
            int attempt,
            String payload,
            long deadlineClockMillis,
            long fencingToken,
            String checkpoint,
            String ticket) {}

    /** The outcome of an order. */
    sealed interface OrderOutcome {
        /**
         * The order was carried out, by this call or an earlier one.
         *
         * @param clockMillis the worker's clock; 0 if the answer does not tell it
         */
        record Done(long clockMillis) implements OrderOutcome {}

        /**
         * The worker rejected the order.
         *
         * @param reason why
         * @param clockMillis the worker's clock; 0 if the answer does not tell it
         */
        record Rejected(Rejection reason, long clockMillis) implements OrderOutcome {
            /**
             * Creates a rejection that does not tell the worker's clock.
             *
             * @param reason why
             */
            public Rejected(Rejection reason) {
                this(reason, 0);
            }
        }

        /**
         * The order was not carried out and will not be.
         *
         * @param reason why
         */
        record NotDone(String reason) implements OrderOutcome {}

        /** Another worker answered at the address. */
        record OtherLife() implements OrderOutcome {}

        /**
         * The outcome is unknown: the order may have been carried out or may still be.
         *
         * @param reason why
         */
        record Unknown(String reason) implements OrderOutcome {}
    }

    /**
     * A run that exists on a worker.
     *
     * @param task task that it runs
     * @param attempt number of the run
     * @param checkpoint newest saved progress; empty for none
     * @param percent share of its work that is done, in percent
     * @param load tail latency in milliseconds of a serving task; used millicores of any other
     */
    record RunReport(TaskName task, int attempt, String checkpoint, int percent, double load) {}

    /** How a run ended. */
    enum EndKind {
        /** Its work is done. */
        DONE,
        /** It failed through its own fault or that of the worker. */
        FAILED,
        /** It was stopped by an order. */
        STOPPED,
        /** Its lease expired. */
        LAPSED,
        /** Another member of its gang ended. */
        GANG_BROKEN,
        /** The other members of its gang did not start in time. */
        GANG_INCOMPLETE
    }

    /**
     * The end of a run.
     *
     * @param number its number in the worker's incarnation, from 1
     * @param task task that it ran
     * @param attempt number of the run
     * @param kind how it ended
     * @param checkpoint newest saved progress; empty for none
     */
    record EndReport(long number, TaskName task, int attempt, EndKind kind, String checkpoint) {}

    /** The outcome of polling a worker. */
    sealed interface PollOutcome {
        /**
         * The worker answered.
         *
         * @param incarnationStartWallMillis start time of the incarnation that answered
         * @param clockMillis the worker's clock
         * @param running the runs that exist on the worker
         * @param ended unacknowledged ends, oldest first, possibly not all of them
         * @param complete whether all unacknowledged ends are listed
         */
        record Seen(
                long incarnationStartWallMillis,
                long clockMillis,
                List<RunReport> running,
                List<EndReport> ended,
                boolean complete)
                implements PollOutcome {}

        /** The worker has seen a higher fencing token. */
        record Fenced() implements PollOutcome {}

        /** Another worker answered at the address. */
        record OtherLife() implements PollOutcome {}

        /**
         * The worker has certainly not received the poll.
         *
         * @param reason why
         */
        record NotSent(String reason) implements PollOutcome {}

        /**
         * There was no usable answer; the worker may have received the poll.
         *
         * @param reason why
         */
        record Failed(String reason) implements PollOutcome {}
    }

    /**
     * Starts a task.
     *
     * @param worker the worker and the incarnation that is addressed
     * @param order task to start and the conditions for starting it
     * @param timeoutMillis how long to wait for the answer
     * @return whether the order was carried out
     */
    CompletableFuture<OrderOutcome> start(WorkerEntry worker, StartOrder order, long timeoutMillis);

    /**
     * Stops a run. If the run does not exist on the worker, the worker rejects later orders to
     * start it.
     *
     * @param worker the worker and the incarnation that is addressed
     * @param task task whose run is stopped
     * @param attempt number of the run
     * @param fencingToken the leader's epoch
     * @param timeoutMillis how long to wait for the answer
     * @return whether the order was carried out
     */
    CompletableFuture<OrderOutcome> stop(
            WorkerEntry worker, TaskName task, int attempt, long fencingToken, long timeoutMillis);

    /**
     * Limits a run to a share of its full speed.
     *
     * @param worker the worker and the incarnation that is addressed
     * @param task task whose run is limited
     * @param attempt number of the run
     * @param percent the share in percent, 0 to 100
     * @param fencingToken the leader's epoch
     * @param timeoutMillis how long to wait for the answer
     * @return whether the order was carried out
     */
    CompletableFuture<OrderOutcome> pace(
            WorkerEntry worker,
            TaskName task,
            int attempt,
            int percent,
            long fencingToken,
            long timeoutMillis);

    /**
     * Polls a worker: renews the leases of its runs and lists its runs and their ends.
     *
     * @param worker the worker and the incarnation that is addressed
     * @param deadlineClockMillis time on the worker's clock until which the leases last; null to
     *     leave them unchanged
     * @param fencingToken the leader's epoch
     * @param acknowledgedEnd number of the last end that is stored and may be forgotten; 0 to
     *     acknowledge none
     * @param waitMillis how long the worker waits for an end if there is none
     * @param timeoutMillis how long to wait for the answer, including the worker's wait
     * @return the worker's runs and ends, or why they are not known
     */
    CompletableFuture<PollOutcome> poll(
            WorkerEntry worker,
            @Nullable Long deadlineClockMillis,
            long fencingToken,
            long acknowledgedEnd,
            long waitMillis,
            long timeoutMillis);

    /**
     * Gives up all calls in flight. One that has not been delivered never is: the leader that sent
     * it has ended, and its successor may give the run up before the worker restarts and forgets
     * the fencing token.
     */
    void abandonCalls();
}
