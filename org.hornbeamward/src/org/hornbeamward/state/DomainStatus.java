package org.hornbeamward.state;

/**
 * Whether a failure domain is in service. Immutable.
 *
 * @param inService false while the failure domain is taken out
 * @param version token of the last accepted change, 0 if never changed
 * @param noticeMillis time that batch tasks had to write a checkpoint when it was taken out
 * @param lost true if its machines were declared to be off
 */
public record DomainStatus(boolean inService, long version, long noticeMillis, boolean lost) {
    /** A failure domain that was never taken out. */
    public static final DomainStatus NEVER_CHANGED = new DomainStatus(true, 0, 0, false);
}
