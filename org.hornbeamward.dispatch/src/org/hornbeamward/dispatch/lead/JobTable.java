package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.config.ClusterConfig;
import org.hornbeamward.dispatch.job.Cancellation;
import org.hornbeamward.dispatch.job.JobPhase;
import org.hornbeamward.dispatch.job.Submission;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.lib.JobId;
import org.jspecify.annotations.Nullable;

/** All jobs that the leader knows, with indexes of the active and the changed ones. */
final class JobTable {
    private static final long IGNORED_LINE_INTERVAL_MILLIS = 1_000;

    private final Map<JobId, Job> mJobs = new LinkedHashMap<>();
    private final Set<Job> mActive = new LinkedHashSet<>();
    private final Map<JobId, KnownCancellations> mCancellations = new HashMap<>();
    private final Set<Job> mChanged = new LinkedHashSet<>();
    private final Set<JobId> mUnreadable = new HashSet<>();
    private final SharedQueues mSharedQueues = new SharedQueues();
    private @Nullable ClusterConfig mConfig;
    private long mNextIgnoredLineMillis = Long.MIN_VALUE;
    private int mIgnoredWithoutLineCount;

    /**
     * The different cancellations that name a job, and the monotonic time at which this leader read
     * the last one. A later one of another caller must not take back an earlier one before the
     * submission shows which of them applies.
     */
    private static final class KnownCancellations {
        private final Set<Cancellation> mDifferent = new LinkedHashSet<>();
        private long mReadMillis;
    }

    void configure(ClusterConfig config) {
        mConfig = config;
        mActive.forEach(this::applyConfig);
    }

    /**
     * A job whose queue or account is no longer configured keeps the last known one; the queue's
     * configuration at acceptance is stored with the job.
     */
    private void applyConfig(Job job) {
        ClusterConfig config = mConfig;
        if (config == null) {
            return;
        }
        if (config.queues().containsKey(job.submission.queue())) {
            job.queue = config.queues().get(job.submission.queue());
        }
        config.accounts()
                .byName(job.submission.account())
                .ifPresent(account -> job.account = account);
    }

    /**
     * Applies a record of the jobs topic.
     *
     * @param key key of the record
     * @param value its value
     * @param nowMillis monotonic time
     * @return the job that it added or cancelled, or null if it changed nothing
     */
    @Nullable Job apply(String key, byte[] value, long nowMillis) {
        return JobKeys.parse(key)
                .map(
                        parsed ->
                                parsed.cancellation()
                                        ? cancel(
                                                parsed.job(), Cancellation.decode(value), nowMillis)
                                        : submit(parsed.job(), value, nowMillis))
                .getOrElse(
                        () -> {
                            LogEvent.RECORD_SKIPPED.log("key " + key + " names no job");
                            return null;
                        });
    }

    private @Nullable Job submit(JobId id, byte[] value, long nowMillis) {
        if (mJobs.containsKey(id)) {
            return null;
        }
        try {
            Submission submission = mSharedQueues.share(Submission.decode(id, value));
            Job job = new Job(submission, submission.acceptedQueue());
            applyConfig(job);
            mJobs.put(id, job);
            mActive.add(job);
            KnownCancellations known = mCancellations.get(id);
            if (known != null
                    && known.mDifferent.stream()
                            .anyMatch(cancellation -> applies(cancellation, job, nowMillis))) {
                job.phase = JobPhase.CANCELLED;
                markChanged(job);
            }
            return job;
        } catch (Reader.MalformedInputException e) {
            mUnreadable.add(id);
            LogEvent.RECORD_SKIPPED.log(e, "submission of job " + id + " cannot be read");
            return null;
        }
    }

    private @Nullable Job cancel(JobId id, Cancellation cancellation, long nowMillis) {
        KnownCancellations known =
                mCancellations.computeIfAbsent(id, key -> new KnownCancellations());
        known.mDifferent.add(cancellation);
        known.mReadMillis = nowMillis;
        Job job = mJobs.get(id);
        if (job == null || job.terminal() || !applies(cancellation, job, nowMillis)) {
            return null;
        }
        job.phase = JobPhase.CANCELLED;
        markChanged(job);
        return job;
    }

    private boolean applies(Cancellation cancellation, Job job, long nowMillis) {
        Submission submission = job.submission;
        if (cancellation.appliesTo(submission)) {
            return true;
        }
        if (nowMillis < mNextIgnoredLineMillis) {
            mIgnoredWithoutLineCount++;
            return false;
        }
        LogEvent.CANCELLATION_IGNORED.log(
                submission.job(),
                cancellation.queue(),
                cancellation.account(),
                submission.queue(),
                submission.account(),
                mIgnoredWithoutLineCount);
        mNextIgnoredLineMillis = nowMillis + IGNORED_LINE_INTERVAL_MILLIS;
        mIgnoredWithoutLineCount = 0;
        return false;
    }

    @Nullable Job get(JobId id) {
        return mJobs.get(id);
    }

    /** Returns whether a submission was read that could not be decoded. */
    boolean isUnreadable(JobId id) {
        return mUnreadable.contains(id);
    }

    Collection<Job> all() {
        return mJobs.values();
    }

    /** Returns the jobs that are not in a final phase or still have runs to stop. */
    Collection<Job> active() {
        return mActive;
    }

    void markChanged(Job job) {
        mChanged.add(job);
    }

    /** Returns and clears the jobs whose progress differs from the stored progress. */
    List<Job> takeChanged() {
        List<Job> changed = new ArrayList<>(mChanged);
        mChanged.clear();
        return changed;
    }

    boolean hasChanges() {
        return !mChanged.isEmpty();
    }

    /** Removes a job from the active ones if its final phase is committed and no run is left. */
    void deactivateIfEnded(Job job) {
        if (job.committedPhase.terminal() && job.liveRunCount == 0) {
            mActive.remove(job);
        }
    }

    /** Removes the cancellations of unknown jobs that were read before a time; returns the ids. */
    List<JobId> removeOrphanedCancellations(long beforeMillis) {
        List<JobId> orphaned = new ArrayList<>();
        mCancellations.forEach(
                (id, known) -> {
                    if (known.mReadMillis < beforeMillis && !mJobs.containsKey(id)) {
                        orphaned.add(id);
                    }
                });
        orphaned.forEach(mCancellations::remove);
        return orphaned;
    }

    /** Removes a job entirely. */
    void remove(Job job) {
        JobId id = job.submission.job();
        mJobs.remove(id);
        mCancellations.remove(id);
        mActive.remove(job);
        mChanged.remove(job);
    }
}
