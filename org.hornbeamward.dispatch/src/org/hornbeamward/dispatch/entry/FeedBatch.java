package org.hornbeamward.dispatch.entry;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamward.dispatch.config.QueueConfig;
import org.jspecify.annotations.Nullable;

/** Rows and queues that the leader has yet to send, and their division into messages. */
final class FeedBatch {
    /** Rows in one message, which keeps it far below the maximum frame size. */
    private static final int ROWS_PER_MESSAGE = 1_000;

    /** Queues in one message; each takes at most 2 KB and its name. */
    static final int QUEUES_PER_MESSAGE = 32;

    private final List<StatusTable.Row> mRows = new ArrayList<>();
    private final Set<QueueConfig> mQueues = new LinkedHashSet<>();

    /** Returns the messages that tell the whole table. */
    static List<FeedMessage> ofTable(StatusTable table) {
        List<FeedMessage> messages = new ArrayList<>();
        List<StatusTable.Row> rows = new ArrayList<>(table.rows());
        List<QueueConfig> queues = new ArrayList<>(table.acceptedQueues());
        boolean last;
        do {
            List<StatusTable.Row> someRows = takeFirst(rows, ROWS_PER_MESSAGE);
            // After all rows, since a receiver drops routes without jobs beyond a number of them.
            List<QueueConfig> someQueues =
                    rows.isEmpty() ? takeFirst(queues, QUEUES_PER_MESSAGE) : List.of();
            last = rows.isEmpty() && queues.isEmpty();
            messages.add(new FeedMessage.Phases(messages.isEmpty(), last, someRows, someQueues));
        } while (!last);
        return messages;
    }

    private static <T> List<T> takeFirst(List<T> values, int count) {
        List<T> first = values.subList(0, Math.min(count, values.size()));
        List<T> taken = List.copyOf(first);
        first.clear();
        return taken;
    }

    boolean isEmpty() {
        return mRows.isEmpty();
    }

    /**
     * Adds a row.
     *
     * @param row the row
     * @param queue queue of the job when it was accepted, if the row is the job's first; or null
     */
    void add(StatusTable.Row row, @Nullable QueueConfig queue) {
        mRows.add(row);
        if (queue != null) {
            mQueues.add(queue);
        }
    }

    /** Removes all rows and queues and returns the messages that tell them. */
    List<FeedMessage> takeMessages() {
        List<FeedMessage> messages = new ArrayList<>();
        List<QueueConfig> queues = new ArrayList<>(mQueues);
        mQueues.clear();
        List<StatusTable.Row> rows = List.copyOf(mRows);
        mRows.clear();
        do {
            List<QueueConfig> someQueues = takeFirst(queues, QUEUES_PER_MESSAGE);
            List<StatusTable.Row> someRows = messages.isEmpty() ? rows : List.of();
            messages.add(new FeedMessage.Phases(false, false, someRows, someQueues));
        } while (!queues.isEmpty());
        return messages;
    }
}
