package org.hornbeamward.dispatch.entry;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.lib.JobId;
import org.jspecify.annotations.Nullable;

/** Job phases that callers may see, as the leader last reported them. Runs on the loop. */
final class StatusTable {
    /**
     * One job.
     *
     * @param job id of the job
     * @param queue name of the queue it was submitted to
     * @param account client account of its caller; empty for none
     * @param phase its phase in the store
     */
    record Row(JobId job, String queue, String account, JobPhase phase) {
        /** Returns whether a caller may see the job. */
        boolean isVisibleTo(String callerQueue, String callerAccount) {
            return queue.equals(callerQueue) && account.equals(callerAccount);
        }
    }

    private final Map<JobId, Row> mRows = new LinkedHashMap<>();
    private final AcceptedQueues mAcceptedQueues = new AcceptedQueues();

    @Nullable Row get(JobId job) {
        return mRows.get(job);
    }

    void put(Row row) {
        mRows.put(row.job(), row);
    }

    void remove(JobId job) {
        mRows.remove(job);
    }

    void clear() {
        mRows.clear();
        mAcceptedQueues.clear();
    }

    /** Adds the queue of a job that is in the table, as configured when the job was accepted. */
    void putAcceptedQueue(QueueConfig queue) {
        mAcceptedQueues.put(queue, this::queueNames);
    }

    private Set<String> queueNames() {
        Set<String> names = new HashSet<>();
        mRows.values().forEach(row -> names.add(row.queue()));
        return names;
    }

    Collection<QueueConfig> acceptedQueues() {
        return mAcceptedQueues.all();
    }

    /** Returns the queue of a job, if the job was accepted on a route. */
    Optional<QueueConfig> acceptedQueue(JobId job, String host, String pathPrefix) {
        Row row = mRows.get(job);
        return row == null ? Optional.empty() : mAcceptedQueues.find(row.queue(), host, pathPrefix);
    }

    Collection<Row> rows() {
        return mRows.values();
    }

    /** Returns the number of jobs of a queue that have not started, of all accounts. */
    int pendingCount(String queue) {
        int count = 0;
        for (Row row : mRows.values()) {
            count += row.phase() == JobPhase.QUEUED && row.queue().equals(queue) ? 1 : 0;
        }
        return count;
    }
}
