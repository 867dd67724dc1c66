package org.hornbeamward.dispatch.entry;

import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hornbeamward.codec.Reader;
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
 * Decides who leads: the entry whose record is the newest of the leader's topic. An entry becomes a
 * candidate when the leader is silent on its feed and has also stopped writing progress, so that a
 * broken link between two entries does not depose a leader that works. Runs on the loop.
 */
final class Election {
    /** Period of the leader's heartbeats. */
    static final long HEARTBEAT_MILLIS = 250;

    /** Silence of the feed after which the leader is checked through the store. */
    private static final long SUSPECT_MILLIS = 3 * HEARTBEAT_MILLIS;

    /** Silence of the progress topic that confirms the suspicion; a leader writes every 0.7 s. */
    private static final long STORE_SILENCE_MILLIS = 1_000;

    /** Longest time since the store confirmed the leader before it is replaced. */
    private static final long UNCONFIRMED_MILLIS = 2_500;

    /**
     * Time in which a leader that reaches the store is confirmed and tells so: its period of 0.7 s
     * or its longest retry, and a heartbeat.
     */
    private static final long CONFIRMED_MILLIS = 1_000;

    /** Wait for a leader that this entry has never heard of. */
    private static final long UNHEARD_MILLIS = 1_500;

    /** Longest random delay of a candidacy, so that candidates rarely collide. */
    private static final long JITTER_MILLIS = 60;

    /**
     * Delay from which an instance that led in an earlier life leaves the next term to others,
     * which stand when they have not heard of it for a while: it has a slow link.
     */
    private static final long YIELDING_DELAY_MILLIS = 300;

    private static final long TICK_MILLIS = 100;
    private static final long ANSWER_TIMEOUT_MILLIS = 900;
    private static final long FOLLOW_WAIT_MILLIS = 2_000;

    /** Learns what the election decides. */
    interface Listener {
        /** This entry leads. */
        void elected(long epoch);

        /** Another entry leads; whatever this one led is over. */
        void following(LeaderRecord leader);
    }

    private final Loop mLoop;
    private final Store mStore;
    private final RandomGenerator mRandom;
    private final String mInstance;
    private final long mLife;
    private final String mFeedAddress;
    private final long mCandidacyDelayMillis;
    private final Listener mListener;
    private final TopicFollower mFollower;
    private @Nullable LeaderRecord mLeader;
    private boolean mRunning;
    private boolean mHeard;
    private long mSilentSinceMillis;
    private long mUnconfirmedMillis;
    private long mProgressOffset = -1;
    private boolean mChecking;
    private boolean mStanding;
    private long mNotBeforeMillis;
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
        mLife = loop.wallMillis();
        mFeedAddress = feedAddress;
        mCandidacyDelayMillis = candidacyDelayMillis;
        mListener = listener;
        mFollower =
                new TopicFollower(
                        loop, store, Topic.LEADER, FOLLOW_WAIT_MILLIS, 0, new RecordListener());
    }

    void start() {
        mRunning = true;
        mSilentSinceMillis = mLoop.nowMillis();
        mNotBeforeMillis = mLoop.nowMillis() + jitterMillis();
        mFollower.start();
        tick();
    }

    /** Stops standing for election. */
    void stop() {
        mRunning = false;
        mFollower.stop();
    }

    /** Gives up leadership so that another entry follows at once. */
    void resign(long epoch) {
        LeaderRecord record = new LeaderRecord(mInstance, mLife, mFeedAddress, epoch, true);
        mStore.append(
                        Topic.LEADER,
                        List.of(new KeyedRecord(LeaderRecord.KEY, record.encode())),
                        new Store.Condition.EndsAt(mFollower.nextOffset()),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> LogEvent.LEADER_DEPOSED.log(epoch, "resigned: " + outcome));
    }

    /** Notes that the leadership of an epoch has ended. */
    void deposed(long epoch) {
        if (mLeadingEpoch == epoch) {
            mLeadingEpoch = -1;
            mSilentSinceMillis = mLoop.nowMillis();
        }
    }

    /** Notes a heartbeat of the leader. */
    void heard(FeedMessage.Heartbeat heartbeat) {
        mHeard = true;
        mSilentSinceMillis = mLoop.nowMillis();
        mUnconfirmedMillis = heartbeat.unconfirmedMillis();
        mProgressOffset = heartbeat.progressOffset();
    }

    /** Notes that the leader's process seems to have ended. */
    void feedBroken() {
        if (mHeard) {
            mSilentSinceMillis =
                    Math.min(mSilentSinceMillis, mLoop.nowMillis() - SUSPECT_MILLIS - 1);
        }
    }

    private long jitterMillis() {
        return mRandom.nextLong(JITTER_MILLIS);
    }

    private void tick() {
        if (!mRunning) {
            return;
        }
        consider();
        mLoop.schedule(TICK_MILLIS, this::tick);
    }

    private void consider() {
        if (!mFollower.isLoaded()
                || mLeadingEpoch >= 0
                || mStanding
                || mChecking
                || mLoop.nowMillis() < mNotBeforeMillis) {
            return;
        }
        LeaderRecord leader = mLeader;
        if (leader == null) {
            stand("there is no leader");
        } else if (leader.resigned()) {
            stand("leader " + leader.instance() + " has resigned");
        } else if (leader.instance().equals(mInstance)
                && leader.life() != mLife
                && mCandidacyDelayMillis < YIELDING_DELAY_MILLIS) {
            stand("this instance led in an earlier life");
        } else if (mUnconfirmedMillis > UNCONFIRMED_MILLIS && isBetterOffThanLeader()) {
            stand("leader " + leader.instance() + " cannot reach the store");
        } else {
            considerSilence(leader);
        }
    }

    /**
     * Returns whether the store answers this entry but not the leader. While it answers nobody, a
     * successor would be no better off; just after an outage the leader may only not have told yet
     * that it was confirmed again.
     */
    private boolean isBetterOffThanLeader() {
        long now = mLoop.nowMillis();
        return now - mFollower.answeredMillis() < mUnconfirmedMillis - CONFIRMED_MILLIS
                && now - mFollower.availableSinceMillis() >= CONFIRMED_MILLIS;
    }

    private void considerSilence(LeaderRecord leader) {
        long silentMillis = mLoop.nowMillis() - mSilentSinceMillis;
        if (!mHeard || mProgressOffset < 0) {
            if (silentMillis > UNHEARD_MILLIS) {
                stand("leader " + leader.instance() + " was never heard of");
            }
        } else if (silentMillis > SUSPECT_MILLIS) {
            LogEvent.FEED_LOST.log(leader.instance(), silentMillis);
            mChecking = true;
            check(leader, mProgressOffset);
        }
    }

    /** Reads progress until it stops or the leader is heard again. */
    private void check(LeaderRecord leader, long fromOffset) {
        long sentMillis = mLoop.nowMillis();
        mStore.read(
                        Topic.PROGRESS,
                        fromOffset,
                        STORE_SILENCE_MILLIS,
                        STORE_SILENCE_MILLIS + ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> checked(leader, outcome, sentMillis));
    }

    private void checked(LeaderRecord leader, ReadOutcome outcome, long sentMillis) {
        mChecking = false;
        boolean heardSince = mLoop.nowMillis() - mSilentSinceMillis <= SUSPECT_MILLIS;
        if (!mRunning || heardSince || mLeader != leader) {
            return;
        }
        switch (outcome) {
            case ReadOutcome.Records records -> {
                if (!records.records().isEmpty()) {
                    mProgressOffset = records.endOffset();
                    mChecking = true;
                    check(leader, mProgressOffset);
                } else if (mLoop.nowMillis() - sentMillis >= STORE_SILENCE_MILLIS / 2) {
                    stand(
                            "leader "
                                    + leader.instance()
                                    + " is silent on its feed and in the store");
                }
            }
            case ReadOutcome.HistoryGone gone -> mProgressOffset = -1;
            case ReadOutcome.Unavailable unavailable ->
                    mNotBeforeMillis = mLoop.nowMillis() + jitterMillis();
        }
    }

    private void stand(String reason) {
        mStanding = true;
        LeaderRecord replaced = mLeader;
        mLoop.schedule(mCandidacyDelayMillis, () -> standUnlessReplaced(replaced, reason));
    }

    private void standUnlessReplaced(@Nullable LeaderRecord replaced, String reason) {
        if (!mRunning || mLeader != replaced) {
            mStanding = false;
            return;
        }
        long atOffset = mFollower.nextOffset();
        long epoch = atOffset + 1;
        LeaderRecord record = new LeaderRecord(mInstance, mLife, mFeedAddress, epoch, false);
        mStore.append(
                        Topic.LEADER,
                        List.of(new KeyedRecord(LeaderRecord.KEY, record.encode())),
                        new Store.Condition.EndsAt(atOffset),
                        ANSWER_TIMEOUT_MILLIS)
                .thenAccept(outcome -> stood(outcome, record, reason));
    }

    private void stood(AppendOutcome outcome, LeaderRecord record, String reason) {
        mStanding = false;
        mNotBeforeMillis = mLoop.nowMillis() + JITTER_MILLIS + jitterMillis();
        if (mRunning && outcome instanceof AppendOutcome.Appended && isNewer(record)) {
            lead(record, reason);
        }
        // Any other outcome shows in the topic, if the record got there.
    }

    private boolean isNewer(LeaderRecord record) {
        LeaderRecord known = mLeader;
        return known == null || record.epoch() > known.epoch();
    }

    private void lead(LeaderRecord record, String reason) {
        mLeader = record;
        mLeadingEpoch = record.epoch();
        mUnconfirmedMillis = 0;
        LogEvent.LEADER_ELECTED.log(record.epoch(), reason);
        mListener.elected(record.epoch());
    }

    private void seen(LeaderRecord record) {
        LeaderRecord known = mLeader;
        if (known != null && record.epoch() < known.epoch()) {
            return;
        }
        boolean own = record.instance().equals(mInstance) && record.life() == mLife;
        if (known != null
                && record.epoch() == known.epoch()
                && record.resigned() == known.resigned()) {
            return;
        }
        if (own && !record.resigned() && record.epoch() != mLeadingEpoch) {
            lead(record, "the answer of the candidacy was lost");
            return;
        }
        mLeader = record;
        mHeard = false;
        mProgressOffset = -1;
        mUnconfirmedMillis = 0;
        mSilentSinceMillis = mLoop.nowMillis();
        if (!own) {
            mLeadingEpoch = -1;
            LogEvent.LEADER_CHANGED.log(record.instance(), record.epoch());
            mListener.following(record);
        }
        consider();
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
                seen(LeaderRecord.decode(value));
            } catch (Reader.MalformedInputException e) {
                LogEvent.RECORD_SKIPPED.log(e, "the leader's record cannot be read");
            }
        }
    }
}
