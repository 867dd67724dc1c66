package org.hornbeamward.dispatch.entry;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.lead.FormerLeader;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Loop;
import org.hornbeamward.dispatch.port.Store;
import org.hornbeamward.dispatch.port.Store.AppendOutcome;
import org.hornbeamward.dispatch.port.Store.ReadOutcome;
import org.hornbeamward.dispatch.port.Topic;
import org.hornbeamward.dispatch.store.TopicFollower;
import org.hornbeamward.event.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Elects the leader: the entry whose record is the newest one in the leader topic. An entry becomes
 * a candidate when it receives no heartbeat from the leader and the leader has also stopped
 * appending progress, so that a broken link between two entries does not depose a working leader.
 * Runs on the loop.
 */
final class Election {
    /** Period of the leader's heartbeats. */
    static final long HEARTBEAT_MILLIS = 250;

    /** Time without a heartbeat after which the progress topic is checked for the leader. */
    private static final long FEED_SILENCE_MILLIS = 3 * HEARTBEAT_MILLIS;

    /**
     * Time without a record in the progress topic after which the leader counts as failed; a leader
     * appends every 0.7 s.
     */
    private static final long STORE_SILENCE_MILLIS = 1_000;

    /** Longest time for which the leader may be without a confirmation by the store. */
    private static final long MAX_UNCONFIRMED_MILLIS = 2_500;

    /**
     * Longest time until a leader that reaches the store is confirmed and reports it: its append
     * period of 0.7 s or its longest retry delay, plus one heartbeat.
     */
    private static final long CONFIRMATION_REPORT_MILLIS = 1_000;

    /** Timeout for the first heartbeat of a leader. */
    private static final long FIRST_HEARTBEAT_TIMEOUT_MILLIS = 1_500;

    /** Upper bound of the random delay of a candidacy, which makes collisions rare. */
    private static final long MAX_JITTER_MILLIS = 60;

    /**
     * Candidacy delay from which an instance that led in an earlier incarnation does not claim the
     * next epoch at once, since its link is slow. The others become candidates when they have
     * received no heartbeat from it for a while.
     */
    private static final long YIELD_DELAY_THRESHOLD_MILLIS = 300;

    /**
     * Delay of a candidacy after a resignation for an entry that has been up for as long as a
     * rolling restart takes, in proportion for younger ones. During such a restart, an entry that
     * has restarted already leads on, and any other one would soon resign too.
     */
    private static final long MAX_UPTIME_DELAY_MILLIS = 100;

    /** Time in which some dozens of instances restart one after the other. */
    private static final long ROLLING_RESTART_MILLIS = 60_000;

    private static final long TICK_MILLIS = 100;
    private static final long ANSWER_TIMEOUT_MILLIS = 900;
    private static final long LONG_POLL_WAIT_MILLIS = 2_000;

    /** Receives the results of the election. */
    interface Listener {
        /**
         * This entry has become the leader.
         *
         * @param epoch the epoch in which it leads
         * @param former what is known of the former leader
         */
        void elected(long epoch, FormerLeader former);

        /**
         * Another entry has become the leader or has resigned; this entry no longer leads.
         *
         * @param leader the newest record of the leader topic
         */
        void following(LeaderRecord leader);
    }

    private final Loop mLoop;
    private final Store mStore;
    private final RandomGenerator mRandom;
    private final String mInstance;
    private final long mIncarnation;
    private final String mFeedAddress;
    private final long mCandidacyDelayMillis;
    private final Listener mListener;
    private final TopicFollower mFollower;
    private @Nullable LeaderRecord mLeader;

    /** Monotonic time at which {@link #mLeader} was received from the store. */
    private long mLeaderKnownMillis;

    private boolean mRunning;
    private long mStartedMillis;
    private boolean mHeartbeatReceived;
    private long mSilentSinceMillis;
    private long mLeaderUnconfirmedMillis;
    private long mLeaderProgressOffset = -1;

    /** Monotonic time at which {@link #mLeaderProgressOffset} first became known. */
    private long mProgressKnownMillis;

    /** Monotonic time of the first heartbeat after the leader's first append; unset if negative. */
    private long mLeaderFirstSeenMillis = -1;

    private boolean mCheckingProgress;
    private boolean mCandidacyPending;
    private long mCandidacyEpoch = -1;
    private FormerLeader mCandidacyFormer = new FormerLeader.Unknown();
    private long mNextCandidacyMillis;
    private long mLeadingEpoch = -1;

    Election(
            Loop loop,
            Store store,
            RandomGenerator random,
            String instance,
            String feedAddress,
            long candidacyDelayMillis,
            Listener listener) {
        mLoop = loop;
        mStore = store;
        mRandom = random;
        mInstance = instance;
        mIncarnation = loop.wallMillis();
        mFeedAddress = feedAddress;
        mCandidacyDelayMillis = candidacyDelayMillis;
        mListener = listener;
        mFollower =
                new TopicFollower(
                        loop, store, Topic.LEADER, LONG_POLL_WAIT_MILLIS, 0, new RecordListener());
    }

    void start() {
        mRunning = true;
        mStartedMillis = mLoop.nowMillis();
        mSilentSinceMillis = mLoop.nowMillis();
        mNextCandidacyMillis = mLoop.nowMillis() + jitterMillis();
        mFollower.start();
        tick();
    }

    /** Stops taking part in elections. */
    void stop() {
        mRunning = false;
        mFollower.stop();
    }

    /**
     * Appends a resignation so that another entry can become the leader without a timeout. The
     * topic must still end after this leader's own record, which its follower may not have read
     * yet.
     *
     * @return the outcome of the append; unless it was refused, another entry may lead from now on
     */
    CompletableFuture<AppendOutcome> resign(long epoch) {
        LeaderRecord record = new LeaderRecord(mInstance, mIncarnation, mFeedAddress, epoch, true);
        return mStore.append(
                Topic.LEADER,
                List.of(new KeyedRecord(LeaderRecord.KEY, record.encode())),
                new Store.Condition.EndsAt(epoch),
                ANSWER_TIMEOUT_MILLIS);
    }

    /** Records that this entry no longer leads in an epoch. */
    void deposed(long epoch) {
        if (mLeadingEpoch == epoch) {
            mLeadingEpoch = -1;
            mSilentSinceMillis = mLoop.nowMillis();
        }
    }

    /** Records a heartbeat of the leader. */
    void heartbeatReceived(FeedMessage.Heartbeat heartbeat) {
        mHeartbeatReceived = true;
        mSilentSinceMillis = mLoop.nowMillis();
        if (mLeaderFirstSeenMillis < 0 && heartbeat.progressOffset() >= 0) {
            mLeaderFirstSeenMillis = mLoop.nowMillis();
        }
        mLeaderUnconfirmedMillis = heartbeat.unconfirmedMillis();
        noteProgress(heartbeat.progressOffset());
    }

    private void noteProgress(long offset) {
        if (offset != mLeaderProgressOffset) {
            mLeaderProgressOffset = offset;
            mProgressKnownMillis = mLoop.nowMillis();
        }
    }

    /**
     * Records that the connection to the leader was lost, which suggests that its process has
     * ended; the progress topic is checked without waiting for missing heartbeats.
     */
    void feedDisconnected() {
        if (mHeartbeatReceived) {
            mSilentSinceMillis =
                    Math.min(mSilentSinceMillis, mLoop.nowMillis() - FEED_SILENCE_MILLIS - 1);
        }
    }

    private long jitterMillis() {
        return mRandom.nextLong(MAX_JITTER_MILLIS);
    }

    private void tick() {
        if (!mRunning) {
            return;
        }
        mLoop.schedule(TICK_MILLIS, this::tick);
        evaluateLeader();
    }

    private void evaluateLeader() {
        if (!mFollower.isLoaded()
                || mLeadingEpoch >= 0
                || mCandidacyPending
                || mCheckingProgress
                || mLoop.nowMillis() < mNextCandidacyMillis) {
            return;
        }
        LeaderRecord leader = mLeader;
        if (leader == null) {
            scheduleCandidacy("there is no leader", new FormerLeader.Unknown());
        } else if (leader.resigned()) {
            scheduleCandidacy(
                    "leader " + leader.instance() + " has resigned",
                    stopped(leader, mLeaderKnownMillis),
                    mCandidacyDelayMillis + uptimeDelayMillis());
        } else if (leader.instance().equals(mInstance)
                && leader.incarnation() != mIncarnation
                && mCandidacyDelayMillis < YIELD_DELAY_THRESHOLD_MILLIS) {
            scheduleCandidacy(
                    "this instance led in an earlier incarnation",
                    leader.feedAddress().equals(mFeedAddress)
                            ? stopped(leader, mStartedMillis)
                            : new FormerLeader.Unknown());
        } else if (mLeaderUnconfirmedMillis > MAX_UNCONFIRMED_MILLIS
                && isStoreReachableOnlyHere()) {
            scheduleCandidacy(
                    "leader " + leader.instance() + " cannot reach the store", silentLeader());
        } else {
            evaluateSilence(leader);
        }
    }

    /**
     * Returns whether the store answers this entry but not the leader. While the store answers no
     * entry, a new leader could not reach it either. Just after an outage, the leader may have been
     * confirmed again without having reported it yet.
     */
    private boolean isStoreReachableOnlyHere() {
        long now = mLoop.nowMillis();
        return now - mFollower.answeredMillis()
                        < mLeaderUnconfirmedMillis - CONFIRMATION_REPORT_MILLIS
                && now - mFollower.availableSinceMillis() >= CONFIRMATION_REPORT_MILLIS;
    }

    private void evaluateSilence(LeaderRecord leader) {
        long silentMillis = mLoop.nowMillis() - mSilentSinceMillis;
        if (!mHeartbeatReceived || mLeaderProgressOffset < 0) {
            if (silentMillis > FIRST_HEARTBEAT_TIMEOUT_MILLIS) {
                scheduleCandidacy(
                        "no heartbeat was ever received from leader " + leader.instance(),
                        new FormerLeader.Unknown());
            }
        } else if (silentMillis > FEED_SILENCE_MILLIS) {
            LogEvent.FEED_LOST.log(leader.instance(), silentMillis);
            mCheckingProgress = true;
            checkProgress(leader, mLeaderProgressOffset);
        }
    }

    /** Reads the progress topic until appends to it stop or the leader sends a heartbeat again. */
    private void checkProgress(LeaderRecord leader, long fromOffset) {
        long sentMillis = mLoop.nowMillis();
        mStore.read(
                        Topic.PROGRESS,
                        fromOffset,
                        STORE_SILENCE_MILLIS,
                        STORE_SILENCE_MILLIS + ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> progressChecked(leader, outcome, sentMillis));
    }

    private void progressChecked(LeaderRecord leader, ReadOutcome outcome, long sentMillis) {
        mCheckingProgress = false;
        boolean heartbeatSince = mLoop.nowMillis() - mSilentSinceMillis <= FEED_SILENCE_MILLIS;
        if (!mRunning || heartbeatSince || mLeader != leader) {
            return;
        }
        switch (outcome) {
            case ReadOutcome.Records records -> {
                if (!records.records().isEmpty()) {
                    noteProgress(records.endOffset());
                    mCheckingProgress = true;
                    checkProgress(leader, mLeaderProgressOffset);
                } else if (mLoop.nowMillis() - sentMillis >= STORE_SILENCE_MILLIS / 2) {
                    scheduleCandidacy(
                            "leader "
                                    + leader.instance()
                                    + " sends no heartbeats and appends no progress",
                            silentLeader());
                }
            }
            case ReadOutcome.HistoryGone gone -> noteProgress(-1);
            case ReadOutcome.Unavailable unavailable ->
                    mNextCandidacyMillis = mLoop.nowMillis() + jitterMillis();
        }
    }

    private FormerLeader stopped(LeaderRecord leader, long stoppedMillis) {
        return new FormerLeader.Stopped(
                leader.epoch(),
                stoppedMillis,
                mLeaderFirstSeenMillis < 0
                        ? FormerLeader.Stopped.NEVER_SEEN
                        : mLeaderFirstSeenMillis);
    }

    /**
     * Returns what is known of a leader that appends no more progress. Every confirmation of a
     * leader is a record, so the last one was given before its last record became known here.
     */
    private FormerLeader silentLeader() {
        return mLeaderProgressOffset < 0
                ? new FormerLeader.Unknown()
                : new FormerLeader.Silent(mLeaderProgressOffset, mProgressKnownMillis);
    }

    private long uptimeDelayMillis() {
        long uptimeMillis = Math.min(mLoop.nowMillis() - mStartedMillis, ROLLING_RESTART_MILLIS);
        return MAX_UPTIME_DELAY_MILLIS * uptimeMillis / ROLLING_RESTART_MILLIS;
    }

    private void scheduleCandidacy(String reason, FormerLeader former) {
        scheduleCandidacy(reason, former, mCandidacyDelayMillis);
    }

    private void scheduleCandidacy(String reason, FormerLeader former, long delayMillis) {
        mCandidacyPending = true;
        mCandidacyFormer = former;
        LeaderRecord replaced = mLeader;
        mLoop.schedule(delayMillis, () -> submitCandidacy(replaced, reason));
    }

    private void submitCandidacy(@Nullable LeaderRecord replaced, String reason) {
        if (!mRunning || mLeader != replaced) {
            mCandidacyPending = false;
            return;
        }
        long atOffset = mFollower.nextOffset();
        long epoch = atOffset + 1;
        mCandidacyEpoch = epoch;
        LeaderRecord record = new LeaderRecord(mInstance, mIncarnation, mFeedAddress, epoch, false);
        mStore.append(
                        Topic.LEADER,
                        List.of(new KeyedRecord(LeaderRecord.KEY, record.encode())),
                        new Store.Condition.EndsAt(atOffset),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> candidacyAnswered(outcome, record, reason));
    }

    private void candidacyAnswered(AppendOutcome outcome, LeaderRecord record, String reason) {
        mCandidacyPending = false;
        mNextCandidacyMillis = mLoop.nowMillis() + MAX_JITTER_MILLIS + jitterMillis();
        if (mRunning && outcome instanceof AppendOutcome.Appended && isNewer(record)) {
            becomeLeader(record, reason);
        }
        // After any other outcome, the follower delivers the record if it was appended after all.
    }

    private boolean isNewer(LeaderRecord record) {
        LeaderRecord known = mLeader;
        return known == null || record.epoch() > known.epoch();
    }

    private void becomeLeader(LeaderRecord record, String reason) {
        FormerLeader former =
                record.epoch() == mCandidacyEpoch ? mCandidacyFormer : new FormerLeader.Unknown();
        mLeader = record;
        mLeadingEpoch = record.epoch();
        mLeaderUnconfirmedMillis = 0;
        LogEvent.LEADER_ELECTED.log(record.epoch(), reason + "; former leader: " + former);
        mListener.elected(record.epoch(), former);
    }

    private void recordReceived(LeaderRecord record) {
        LeaderRecord known = mLeader;
        if (known != null && record.epoch() < known.epoch()) {
            return;
        }
        boolean own = record.instance().equals(mInstance) && record.incarnation() == mIncarnation;
        if (known != null
                && record.epoch() == known.epoch()
                && record.resigned() == known.resigned()) {
            return;
        }
        if (own && !record.resigned() && record.epoch() != mLeadingEpoch) {
            becomeLeader(record, "the append of the candidacy took effect before its answer");
            return;
        }
        if (known == null || record.epoch() != known.epoch()) {
            mLeaderFirstSeenMillis = -1;
        }
        mLeader = record;
        mLeaderKnownMillis = mLoop.nowMillis();
        mHeartbeatReceived = false;
        noteProgress(-1);
        mLeaderUnconfirmedMillis = 0;
        mSilentSinceMillis = mLoop.nowMillis();
        if (!own) {
            mLeadingEpoch = -1;
            LogEvent.LEADER_CHANGED.log(record.instance(), record.epoch());
            mListener.following(record);
        }
        evaluateLeader();
    }

    private final class RecordListener implements TopicFollower.Listener {
        @Override
        public void loaded(Map<String, byte[]> newest) {
            byte[] value = newest.get(LeaderRecord.KEY);
            if (value != null) {
                decode(value);
            }
        }

        @Override
        public void changed(List<KeyedRecord> records) {
            for (KeyedRecord record : records) {
                byte[] value = record.value();
                if (value != null) {
                    decode(value);
                }
            }
        }

        private void decode(byte[] value) {
            try {
                recordReceived(LeaderRecord.decode(value));
            } catch (Reader.MalformedInputException e) {
                LogEvent.RECORD_SKIPPED.log(e, "the leader's record cannot be read");
            }
        }
    }
}
