package org.hornbeamward.command;

/** Why a placed task is stopped. The order is part of the record format. */
public enum StopReason {
    /** Its job was cancelled. */
    CANCELLED,
    /** Its failure domain is leaving. */
    DOMAIN_OUT,
    /** It slows a service beyond the agreed period. */
    INTERFERENCE,
    /** Urgent work takes its place. */
    PREEMPTED
}
