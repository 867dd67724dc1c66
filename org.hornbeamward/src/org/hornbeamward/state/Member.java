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
 * @param suspectedBy members that suspect it
 * @param configVersion configuration in force there, as last told
 * @param demandSlotCount slots it could use, as last told
 */
public record Member(
        JoinMember join,
        long joinToken,
        long lastSequence,
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

    Member withSequence(long sequence) {
        return new Member(join, joinToken, sequence, suspectedBy, configVersion, demandSlotCount);
    }

    Member withSuspectedBy(SortedSet<InstanceId> suspects) {
        return new Member(join, joinToken, lastSequence, suspects, configVersion, demandSlotCount);
    }

    Member withRenewal(long version, int demand) {
        return new Member(join, joinToken, lastSequence, suspectedBy, version, demand);
    }
}
