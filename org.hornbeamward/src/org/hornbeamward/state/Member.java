package org.hornbeamward.state;

import java.util.SortedSet;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.lib.InstanceId;

/**
 * One incarnation of an entry instance that is a member of the cluster. Immutable.
 *
 * @param join its accepted join command
 * @param joinToken token of its accepted join
 * @param lastSequence sequence number of its last applied batch
 * @param lastWallMillis its wall clock in its last applied batch, used for the log time only
 * @param suspectedBy members that suspect it
 * @param configVersion version of the configuration in force on it, as last reported
 * @param demandSlotCount number of slots it could use, as last reported
 */
public record Member(
        JoinMember join,
        long joinToken,
        long lastSequence,
        long lastWallMillis,
        SortedSet<InstanceId> suspectedBy,
        long configVersion,
        int demandSlotCount) {

    /**
     * Returns the id of the instance.
     *
     * @return its id
     */
    public InstanceId instance() {
        return join.instance();
    }

    /**
     * Returns the incarnation.
     *
     * @return the random number drawn at process start
     */
    public long incarnation() {
        return join.incarnation();
    }

    Member withBatch(long sequence, long wallMillis) {
        return new Member(
                join, joinToken, sequence, wallMillis, suspectedBy, configVersion, demandSlotCount);
    }

    Member withSuspectedBy(SortedSet<InstanceId> suspectingMembers) {
        return new Member(
                join,
                joinToken,
                lastSequence,
                lastWallMillis,
                suspectingMembers,
                configVersion,
                demandSlotCount);
    }

    Member withRenewal(long version, int demand) {
        return new Member(
                join, joinToken, lastSequence, lastWallMillis, suspectedBy, version, demand);
    }
}
