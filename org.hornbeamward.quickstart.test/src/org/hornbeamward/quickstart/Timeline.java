package org.hornbeamward.quickstart;

import java.util.ArrayList;
import java.util.List;

/** What the scenario did and when, for the checks. Wall-clock times are of this machine only. */
final class Timeline {
    String mTakenOutDomain = "";
    long mDomainOutWallMillis;
    long mDomainBackWallMillis;
    String mLeavingEndpoint = "";
    long mLeavingNanos;
    final List<PlannedStop> mStops = new ArrayList<>();
    final List<ConfigCheck> mConfigChecks = new ArrayList<>();
    final List<Boolean> mRaceResults = new ArrayList<>();

    /** Resource usage of an entry instance that ran from the start to the end of the load. */
    double mEntryResidentMib;

    double mEntryCpuSeconds;
    double mEntryRunSeconds;

    /** CPU usage of the same instance before any request was sent, in percent of one core. */
    double mEntryControlCpuPercent;

    double mLogReadBytes;
    double mLogReadRecords;

    /** A planned stop of an entry instance. */
    record PlannedStop(String instance, long startedNanos, boolean ended) {}

    /** Time until a published configuration was in force, and the version read afterwards. */
    record ConfigCheck(String instance, long tookMillis, long version, long expectedVersion) {}
}
