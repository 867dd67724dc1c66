package org.hornbeamward.pgm.settings;

import java.net.URI;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.lib.FailureDomainId;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.RegionId;
import org.hornbeamward.lib.WorkerId;
import org.tinylog.Level;

/**
 * Settings of one entry instance. docs/settings.md describes each key. Immutable.
 *
 * @param instance name of the entry instance
 * @param failureDomain failure domain that it runs in
 * @param region region of that failure domain
 * @param requestAddress address on which the front listens for requests
 * @param adminAddress address on which the admin API listens
 * @param peerAddress address to which other entry instances connect
 * @param logUrl base URL of the platform's log
 * @param listUrl URL of the platform's instance list
 * @param workers addresses of workers, for platforms whose instance list does not contain them
 * @param logLevel minimum level of the log events that are written
 * @param shutdownWaitMillis delay between reporting not ready and closing the front
 * @param frontThreadCount number of event loop threads of the front
 * @param snapshotIntervalRecordCount number of records of a stream between two snapshots
 */
public record EntrySettings(
        InstanceId instance,
        FailureDomainId failureDomain,
        RegionId region,
        HostPort requestAddress,
        HostPort adminAddress,
        HostPort peerAddress,
        URI logUrl,
        URI listUrl,
        SortedMap<WorkerId, HostPort> workers,
        Level logLevel,
        long shutdownWaitMillis,
        int frontThreadCount,
        long snapshotIntervalRecordCount) {

    /** Copies the map of workers. */
    public EntrySettings {
        workers = Collections.unmodifiableSortedMap(new TreeMap<>(workers));
    }
}
