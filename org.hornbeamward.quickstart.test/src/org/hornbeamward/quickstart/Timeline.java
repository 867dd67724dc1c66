package org.hornbeamward.quickstart;

import java.util.ArrayList;
import java.util.List;

/** What the run did and when, as the checks need it. Wall times are of this machine only. */
final class Timeline {
    String mDomain = "";
    long mDomainOutWallMillis;
    long mDomainBackWallMillis;
    String mLeavingEndpoint = "";
    long mLeavingNanos;
    final List<PlannedStop> mStops = new ArrayList<>();
    final List<ConfigCheck> mConfigChecks = new ArrayList<>();
    final List<Boolean> mRaces = new ArrayList<>();

    /** Use of an entry instance that ran from the start to the end of the load. */
    double mEntryResidentMib;

    double mEntryCpuSeconds;
    double mEntryRunSeconds;

    /** Share of one core used by the same instance before any request was sent. */
    double mEntryControlCpuPercent;

    double mLogReadBytes;
    double mLogReadRecords;

    /** A planned stop of an entry instance. */
    record PlannedStop(String instance, long startedNanos, boolean ended) {}

    /** How long a published configuration took to be in force, and what was seen later. */
    record ConfigCheck(String instance, long tookMillis, long version, long expectedVersion) {}
}
