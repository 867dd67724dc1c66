package org.hornbeamward.command;

/** Why a placed task is stopped. The order of the constants is part of the record format. */
public enum StopReason {
    /** Its job was cancelled. */
    CANCELLED,
    /** Its failure domain is taken out of service. */
    DOMAIN_OUT,
    /** Its interference slows a service beyond the agreed period. */
    INTERFERENCE,
    /** It is preempted by an urgent job. */
    PREEMPTED
}
