package org.hornbeamward.state;

import java.util.SortedSet;
import org.hornbeamward.command.JoinMember;
import org.hornbeamward.lib.InstanceId;

/**
 * A member of the set of entry instances. Immutable.
 *
 * @param join what it declared when it joined
 * @param joinToken token of its accepted join
 * @param lastSequence sequence of its last applied batch
 * @param lastWallMillis its wall clock at its last applied batch, for figures only
 * @param suspectedBy members that suspect it
 * @param configVersion configuration in force there, as last told
 * @param demandSlotCount slots it could use, as last told
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
     * Returns the instance.
     *
     * @return its id
     */
    public InstanceId instance() {
        return join.instance();
    }

    /**
     * Returns the incarnation.
     *
     * @return the number drawn at process start
     */
    public long incarnation() {
        return join.incarnation();
    }

    Member withBatch(long sequence, long wallMillis) {
        return new Member(
                join, joinToken, sequence, wallMillis, suspectedBy, configVersion, demandSlotCount);
    }

    Member withSuspectedBy(SortedSet<InstanceId> suspects) {
        return new Member(
                join,
                joinToken,
                lastSequence,
                lastWallMillis,
                suspects,
                configVersion,
                demandSlotCount);
    }

    Member withRenewal(long version, int demand) {
        return new Member(
                join, joinToken, lastSequence, lastWallMillis, suspectedBy, version, demand);
    }
}
