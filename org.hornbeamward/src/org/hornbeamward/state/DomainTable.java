package org.hornbeamward.state;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.command.BringBackDomain;
import org.hornbeamward.command.TakeOutDomain;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.VersionConflict;
import org.hornbeamward.lib.FailureDomainId;
import org.jspecify.annotations.Nullable;

/** The service status of failure domains. Confined to the thread that applies the log. */
public final class DomainTable {
    final SortedMap<FailureDomainId, DomainStatus> mChanged = new TreeMap<>();

    DomainTable() {}

    /**
     * Returns a failure domain's status.
     *
     * @param failureDomain the domain
     * @return its status; in service if it was never taken out
     */
    public DomainStatus status(FailureDomainId failureDomain) {
        return mChanged.getOrDefault(failureDomain, DomainStatus.NEVER_CHANGED);
    }

    /**
     * Returns the failure domains that were ever taken out.
     *
     * @return unmodifiable view by id
     */
    public SortedMap<FailureDomainId, DomainStatus> changedDomains() {
        return Collections.unmodifiableSortedMap(mChanged);
    }

    @Nullable HornbeamwardError takeOut(TakeOutDomain command, long token) {
        DomainStatus status = status(command.failureDomain());
        if (status.version() != command.baseVersion()) {
            return conflict(command.failureDomain(), command.baseVersion(), status);
        }
        if (!status.inService() && (status.lost() || !command.lost())) {
            return rejected(command.failureDomain(), "it is taken out already");
        }
        mChanged.put(
                command.failureDomain(),
                new DomainStatus(false, token, command.noticeMillis(), command.lost()));
        return null;
    }

    @Nullable HornbeamwardError bringBack(BringBackDomain command, long token) {
        DomainStatus status = status(command.failureDomain());
        if (status.version() != command.baseVersion()) {
            return conflict(command.failureDomain(), command.baseVersion(), status);
        }
        if (status.inService()) {
            return rejected(command.failureDomain(), "it is in service already");
        }
        mChanged.put(command.failureDomain(), new DomainStatus(true, token, 0, false));
        return null;
    }

    private static VersionConflict conflict(
            FailureDomainId failureDomain, long baseVersion, DomainStatus status) {
        return new VersionConflict(
                "failure domain " + failureDomain, baseVersion, status.version());
    }

    private static CommandRejected rejected(FailureDomainId failureDomain, String reason) {
        return new CommandRejected("failure domain " + failureDomain, reason);
    }
}
