package org.hornbeamward.dispatch.lead;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.event.LogEvent;

/** What the leaders of earlier epochs have stored about how long the ones before them renew. */
final class StoredGrants {
    private final Set<String> mFencingKeys = new LinkedHashSet<>();

    /** By epoch, so that a leader comes after the ones before it. */
    private final Map<Long, GrantsAtFencing> mAtFencing = new TreeMap<>();

    /** Time left when the leader of an epoch stopped until the ones before it renew no leases. */
    private final Map<Long, Long> mRemainingMillis = new HashMap<>();

    private StoredGrants() {}

    /**
     * Takes the records out of the loaded progress.
     *
     * @param progress newest value of every key of the progress topic
     * @return what they say
     */
    static StoredGrants take(Map<String, byte[]> progress) {
        StoredGrants stored = new StoredGrants();
        Iterator<Map.Entry<String, byte[]>> entries = progress.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<String, byte[]> entry = entries.next();
            if (entry.getKey().equals(EarlierGrants.KEY) || GrantsAtFencing.isKey(entry.getKey())) {
                stored.read(entry.getKey(), entry.getValue());
                entries.remove();
            }
        }
        stored.mAtFencing.values().forEach(stored::apply);
        return stored;
    }

    private void read(String key, byte[] value) {
        try {
            if (key.equals(EarlierGrants.KEY)) {
                EarlierGrants grants = EarlierGrants.decode(value);
                mRemainingMillis.put(grants.epoch(), grants.remainingMillis());
            } else {
                mFencingKeys.add(key);
                GrantsAtFencing grants = GrantsAtFencing.decode(value);
                mAtFencing.put(grants.epoch(), grants);
            }
        } catch (Reader.MalformedInputException e) {
            LogEvent.RECORD_SKIPPED.log(e, "the record of earlier renewals cannot be read");
        }
    }

    /**
     * Applies what a leader knew at the fencing. The time left that its former leader has stored
     * counts at the latest from when that one stopped, since a leader that stops stores nothing
     * more.
     */
    private void apply(GrantsAtFencing grants) {
        long remainingMillis = grants.remainingMillis();
        Long formerMillis = mRemainingMillis.get(grants.formerEpoch());
        if (formerMillis != null) {
            long leftMillis = Math.max(0, formerMillis - grants.formerStoppedAgoMillis());
            remainingMillis = Math.min(remainingMillis, leftMillis);
        }
        mRemainingMillis.merge(grants.epoch(), remainingMillis, Math::min);
    }

    /**
     * Returns how long the leaders before a leader that has stopped may renew leases. If it is
     * known, that leader has fenced them.
     *
     * @param epoch epoch of the leader that has stopped
     * @return milliseconds, counted from a time by which it had certainly stopped; empty if it has
     *     stored nothing
     */
    OptionalLong remainingMillis(long epoch) {
        Long remainingMillis = mRemainingMillis.get(epoch);
        return remainingMillis == null ? OptionalLong.empty() : OptionalLong.of(remainingMillis);
    }

    /** Returns the keys of the records that leaders stored before they had loaded. */
    Set<String> fencingKeys() {
        return mFencingKeys;
    }
}
