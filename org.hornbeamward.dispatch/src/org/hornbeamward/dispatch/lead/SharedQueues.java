package org.hornbeamward.dispatch.lead;

import java.util.HashMap;
import java.util.Map;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.hornbeamward.dispatch.job.Submission;

/**
 * Lets submissions share equal configurations of their queues, so that thousands of jobs do not
 * hold one each.
 */
final class SharedQueues {
    /** Largest number of configurations that are remembered; far above the queues in use. */
    private static final int MAX_COUNT = 1_000;

    private final Map<QueueConfig, QueueConfig> mQueues = new HashMap<>();

    /** Returns an equal submission whose configuration of the queue is shared with others. */
    Submission share(Submission submission) {
        QueueConfig queue = submission.acceptedQueue();
        if (queue == null) {
            return submission;
        }
        if (mQueues.size() >= MAX_COUNT) {
            mQueues.clear();
        }
        QueueConfig shared = mQueues.putIfAbsent(queue, queue);
        return submission.withAcceptedQueue(shared == null ? queue : shared);
    }
}
