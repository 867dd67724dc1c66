package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hornbeamward.dispatch.port.Documents;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.port.WorkerEntry;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * The leader's sessions with workers, kept in step with the entries that the workers write. Runs on
 * the loop.
 */
final class WorkerRegistry {
    /** Wait of the store's reads, so that the age of what is known stays bounded. */
    private static final long READ_WAIT_MILLIS = 1_000;

    /** Pause between two reads; each worker writes every 1.5 s. */
    private static final long READ_PAUSE_MILLIS = 400;

    /** Time after an entry vanished until the worker is taken as gone; a page's bound. */
    private static final long UNLISTED_MILLIS = 2_000;

    /** Learns what the entries say. */
    interface Listener {
        /** All entries were read. */
        void loaded();

        /** Entries have changed. */
        void changed();

        /** An entry shows a later life of a worker; its session is to be removed. */
        void restarted(WorkerSession worker);

        /** A worker has begun to leave. */
        void draining(WorkerSession worker);
    }

    private final Loop mLoop;
    private final Documents mDocuments;
    private final Function<WorkerEntry, WorkerSession> mSessions;
    private final Listener mListener;
    private final TopicFollower mFollower;
    private final Map<WorkerId, WorkerSession> mWorkers = new LinkedHashMap<>();
    private final Map<WorkerId, Loop.Timer> mUnlisted = new HashMap<>();
    private boolean mOpen = true;

    /**
     * Creates a registry that reads nothing yet.
     *
     * @param loop the loop
     * @param store the store
     * @param documents decodes the workers' entries
     * @param sessions creates the session of a life of a worker
     * @param listener learns what the entries say
     */
    WorkerRegistry(
            Loop loop,
            Store store,
            Documents documents,
            Function<WorkerEntry, WorkerSession> sessions,
            Listener listener) {
        mLoop = loop;
        mDocuments = documents;
        mSessions = sessions;
        mListener = listener;
        mFollower =
                new TopicFollower(
                        loop,
                        store,
                        Topic.WORKERS,
                        READ_WAIT_MILLIS,
                        READ_PAUSE_MILLIS,
                        new EntriesListener());
    }

    void start() {
        mFollower.start();
    }

    /** Ends all sessions. */
    void close() {
        mOpen = false;
        mFollower.stop();
        mWorkers.values().forEach(WorkerSession::close);
        mUnlisted.values().forEach(Loop.Timer::cancel);
    }

    boolean isLoaded() {
        return mFollower.isLoaded();
    }

    int size() {
        return mWorkers.size();
    }

    Collection<WorkerSession> all() {
        return mWorkers.values();
    }

    @Nullable WorkerSession get(WorkerId id) {
        return mWorkers.get(id);
    }

    /** Adds a worker that no entry describes; runs of a former leader may be there. */
    WorkerSession addUnlisted(WorkerId id, long bornWallMillis) {
        WorkerSession worker = mSessions.apply(WorkerEntry.unlisted(id, bornWallMillis));
        mWorkers.put(id, worker);
        return worker;
    }

    void remove(WorkerSession worker) {
        worker.close();
        mWorkers.remove(worker.id(), worker);
    }

    private void list(String key, byte[] value) {
        mDocuments
                .worker(key, value)
                .peek(this::list)
                .peekLeft(reason -> LogEvent.RECORD_SKIPPED.log(key + ": " + reason));
    }

    private void list(WorkerEntry entry) {
        Loop.Timer timer = mUnlisted.remove(entry.id());
        if (timer != null) {
            timer.cancel();
        }
        WorkerSession worker = mWorkers.get(entry.id());
        if (worker != null && entry.bornWallMillis() < worker.bornWallMillis()) {
            return;
        }
        if (worker != null && entry.bornWallMillis() > worker.bornWallMillis()) {
            mListener.restarted(worker);
            worker = null;
        }
        if (worker == null) {
            worker = mSessions.apply(entry);
            mWorkers.put(entry.id(), worker);
        }
        boolean begins = entry.draining() && !worker.entry().draining();
        worker.update(entry);
        worker.listed = true;
        if (begins) {
            LogEvent.WORKER_DRAINING.log(entry.id(), entry.drainLeftMillis());
            mListener.draining(worker);
        }
    }

    private void unlist(WorkerId id) {
        WorkerSession worker = mWorkers.get(id);
        if (worker == null || mUnlisted.containsKey(id)) {
            return;
        }
        worker.listed = false;
        mUnlisted.put(id, mLoop.schedule(UNLISTED_MILLIS, () -> dropIfIdle(worker)));
    }

    private void dropIfIdle(WorkerSession worker) {
        mUnlisted.remove(worker.id());
        if (worker.listed || !mOpen) {
            return;
        }
        if (worker.runs().isEmpty()) {
            remove(worker);
        } else {
            mUnlisted.put(worker.id(), mLoop.schedule(UNLISTED_MILLIS, () -> dropIfIdle(worker)));
        }
    }

    private final class EntriesListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            for (WorkerId id : new ArrayList<>(mWorkers.keySet())) {
                if (!newest.containsKey(id.value())) {
                    unlist(id);
                }
            }
            newest.forEach(WorkerRegistry.this::list);
            mListener.loaded();
            mListener.changed();
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            for (KeyedRecord record : records) {
                byte[] value = record.value();
                if (value == null) {
                    WorkerId.parse(record.key()).forEach(WorkerRegistry.this::unlist);
                } else {
                    list(record.key(), value);
                }
            }
            mListener.changed();
        }
    }
}
