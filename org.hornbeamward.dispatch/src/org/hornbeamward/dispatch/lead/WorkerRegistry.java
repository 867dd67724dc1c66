package org.hornbeamward.dispatch.lead;

import io.vavr.control.Either;
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
import org.hornbeamward.dispatch.store.RecordHandler;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.WorkerId;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the leader's sessions with workers up to date with the entries that the workers write to
 * the store. Runs on the loop.
 */
final class WorkerRegistry {
    /**
     * Longest time that the store holds a read open without new records, which bounds the age of
     * the entries.
     */
    private static final long READ_WAIT_MILLIS = 1_000;

    /** Pause between two reads; each worker writes its entry every 1.5 s. */
    private static final long READ_PAUSE_MILLIS = 400;

    /**
     * Time after the removal of an entry until the worker counts as gone; a bound that the
     * platform's documentation gives.
     */
    private static final long UNLISTED_GRACE_MILLIS = 2_000;

    /**
     * How far the start time of an incarnation may lie ahead of this process's time of day. Clocks
     * of the platform jump by seconds; a start time in the far future would hide every later
     * incarnation.
     */
    private static final long MAX_START_AHEAD_MILLIS = 24 * 3_600_000L;

    /** Receives changes of the entries. */
    interface Listener {
        /** All entries were read. */
        void loaded();

        /** Entries have changed. */
        void changed();

        /**
         * An entry shows a later incarnation of a worker.
         *
         * @param ended closed session with the earlier incarnation
         * @param successor session with the later incarnation
         */
        void restarted(WorkerSession ended, WorkerSession successor);

        /** A worker has started to drain. */
        void draining(WorkerSession worker);
    }

    private final Loop mLoop;
    private final Documents mDocuments;
    private final Function<WorkerEntry, WorkerSession> mSessionFactory;
    private final Listener mListener;
    private final TopicFollower mFollower;
    private final Map<WorkerId, WorkerSession> mWorkers = new LinkedHashMap<>();
    private final Map<WorkerId, Loop.Timer> mUnlistedTimers = new HashMap<>();
    private boolean mOpen = true;

    /**
     * Creates a registry that does not read entries until it is started.
     *
     * @param loop event loop that provides the clocks and timers
     * @param store store that holds the workers' entries
     * @param documents decodes the workers' entries
     * @param sessionFactory creates the session with an incarnation of a worker
     * @param listener receives changes of the entries
     */
    WorkerRegistry(
            Loop loop,
            Store store,
            Documents documents,
            Function<WorkerEntry, WorkerSession> sessionFactory,
            Listener listener) {
        mLoop = loop;
        mDocuments = documents;
        mSessionFactory = sessionFactory;
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

    /** Stops reading and closes all sessions. */
    void close() {
        mOpen = false;
        mFollower.stop();
        mWorkers.values().forEach(WorkerSession::close);
        mUnlistedTimers.values().forEach(Loop.Timer::cancel);
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

    /** Adds a worker without an entry that may still have runs of a previous leader. */
    WorkerSession addUnlisted(WorkerId id, long incarnationStartWallMillis) {
        WorkerSession worker =
                mSessionFactory.apply(WorkerEntry.unlisted(id, incarnationStartWallMillis));
        mWorkers.put(id, worker);
        return worker;
    }

    /** Replaces the session with an incarnation that has ended by one with a later incarnation. */
    WorkerSession replace(WorkerSession ended, WorkerEntry laterEntry) {
        ended.close();
        WorkerSession successor = mSessionFactory.apply(laterEntry);
        mWorkers.put(laterEntry.id(), successor);
        return successor;
    }

    void remove(WorkerSession worker) {
        worker.close();
        mWorkers.remove(worker.id(), worker);
    }

    private void applyRecord(String key, byte @Nullable [] value) {
        if (value == null) {
            WorkerId.parse(key).forEach(this::markUnlisted);
            return;
        }
        mDocuments
                .decodeWorkerEntry(key, value)
                .flatMap(this::plausible)
                .peek(this::applyEntry)
                .peekLeft(reason -> LogEvent.RECORD_SKIPPED.log(key + ": " + reason));
    }

    /**
     * Rejects an entry that contradicts what is known: an incarnation has one pool and one address,
     * and the one at which it answers is its own.
     */
    private Either<String, WorkerEntry> plausible(WorkerEntry entry) {
        long startMillis = entry.incarnationStartWallMillis();
        if (startMillis > mLoop.wallMillis() + MAX_START_AHEAD_MILLIS) {
            return Either.left("start time " + startMillis + " lies in the future");
        }
        WorkerSession worker = mWorkers.get(entry.id());
        if (worker != null
                && worker.incarnationStartWallMillis() == startMillis
                && worker.answers()
                && !(worker.entry().address().equals(entry.address())
                        && worker.entry().pool().equals(entry.pool()))) {
            return Either.left(
                    "pool "
                            + entry.pool()
                            + " at "
                            + entry.address()
                            + ", but it answers as one of pool "
                            + worker.entry().pool()
                            + " at "
                            + worker.entry().address());
        }
        return Either.right(entry);
    }

    private void applyEntry(WorkerEntry entry) {
        Loop.Timer timer = mUnlistedTimers.remove(entry.id());
        if (timer != null) {
            timer.cancel();
        }
        WorkerSession worker = mWorkers.get(entry.id());
        if (worker != null
                && entry.incarnationStartWallMillis() < worker.incarnationStartWallMillis()) {
            return;
        }
        if (worker != null
                && entry.incarnationStartWallMillis() > worker.incarnationStartWallMillis()) {
            WorkerSession ended = worker;
            worker = replace(ended, entry);
            mListener.restarted(ended, worker);
        }
        if (worker == null) {
            worker = mSessionFactory.apply(entry);
            mWorkers.put(entry.id(), worker);
        }
        boolean startsDraining = entry.draining() && !worker.entry().draining();
        worker.update(entry);
        worker.listed = true;
        if (startsDraining) {
            LogEvent.WORKER_DRAINING.log(entry.id(), entry.drainLeftMillis());
            mListener.draining(worker);
        }
    }

    private void markUnlisted(WorkerId id) {
        WorkerSession worker = mWorkers.get(id);
        if (worker == null || mUnlistedTimers.containsKey(id)) {
            return;
        }
        worker.listed = false;
        scheduleRemoval(id);
    }

    private void scheduleRemoval(WorkerId id) {
        mUnlistedTimers.put(id, mLoop.schedule(UNLISTED_GRACE_MILLIS, () -> removeIfIdle(id)));
    }

    private void removeIfIdle(WorkerId id) {
        mUnlistedTimers.remove(id);
        WorkerSession worker = mWorkers.get(id);
        if (worker == null || worker.listed || !mOpen) {
            return;
        }
        // The leases would count for runs that start there later, if the entry comes back.
        if (worker.runs().isEmpty() && !worker.isLeaseBoundStored() && worker.leasesLapsed()) {
            remove(worker);
        } else {
            scheduleRemoval(id);
        }
    }

    private final class EntriesListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            for (WorkerId id : new ArrayList<>(mWorkers.keySet())) {
                if (!newest.containsKey(id.value())) {
                    markUnlisted(id);
                }
            }
            RecordHandler.handleAll(newest, WorkerRegistry.this::applyRecord);
            mListener.loaded();
            mListener.changed();
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            RecordHandler.handleAll(records, WorkerRegistry.this::applyRecord);
            mListener.changed();
        }
    }
}
