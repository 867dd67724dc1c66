package org.hornbeamward.transport.message;

/** Why a worker refused a message. The order is part of the encoding. */
public enum RefusalReason {
    /** A message with a newer epoch was seen before. */
    OLD_EPOCH,
    /** The message is meant for another incarnation. */
    OTHER_INCARNATION,
    /** A placement of the task with this token or a newer one was seen before. */
    OLD_TOKEN,
    /** The start ticket is too old. */
    OLD_TICKET,
    /** The worker has no lease. */
    NO_LEASE
}
