package org.hornbeamward.transport.message;

/** Why a worker refused a message. The order of the constants is part of the wire format. */
public enum RefusalReason {
    /** The worker has already seen a message with a newer membership epoch. */
    OLD_EPOCH,
    /** The message is addressed to another incarnation of the worker. */
    OTHER_INCARNATION,
    /** The worker has already seen a placement of the task with this or a newer fencing token. */
    OLD_TOKEN,
    /** The start ticket is too old. */
    OLD_TICKET,
    /** The worker has no lease. */
    NO_LEASE
}
