package org.hornbeamward.state;

import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.PublishConfig;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.VersionConflict;
import org.jspecify.annotations.Nullable;

/**
 * The configuration in force. Its version only increases. Confined to the thread that applies the
 * log.
 */
public final class ConfigTable {
    SortedMap<String, String> mEntries = new TreeMap<>();
    Configuration mConfiguration = Configuration.EMPTY;
    long mVersion;

    ConfigTable() {}

    /**
     * Returns the version in force.
     *
     * @return token of the last accepted change, 0 before the first
     */
    public long version() {
        return mVersion;
    }

    /**
     * Returns the entries in force.
     *
     * @return unmodifiable view from key to JSON text
     */
    public SortedMap<String, String> entries() {
        return Collections.unmodifiableSortedMap(mEntries);
    }

    /**
     * Returns the configuration in force as typed values.
     *
     * @return an immutable value
     */
    public Configuration configuration() {
        return mConfiguration;
    }

    @Nullable HornbeamwardError publish(PublishConfig command, long token) {
        if (command.baseVersion() != mVersion) {
            return new VersionConflict("configuration", command.baseVersion(), mVersion);
        }
        SortedMap<String, String> entries = new TreeMap<>(mEntries);
        for (Map.Entry<String, String> change : command.changedEntries().entrySet()) {
            if (change.getValue().isEmpty()) {
                entries.remove(change.getKey());
            } else {
                entries.put(change.getKey(), change.getValue());
            }
        }
        return Configuration.parse(entries)
                .fold(
                        problems -> problems,
                        parsed -> {
                            mEntries = entries;
                            mConfiguration = parsed;
                            mVersion = token;
                            return null;
                        });
    }
}
