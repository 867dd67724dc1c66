package org.hornbeamward.command;

import org.hornbeamward.lib.WorkerId;

/**
 * Declares an incarnation of a worker ended after its lease.
 *
 * @param worker the worker
 * @param incarnation the incarnation
 * @param membershipEpoch epoch at which the author supervised the worker; the command is refused
 *     after any change of membership, because the worker may have been renewed by another member
 */
public record LoseWorker(WorkerId worker, long incarnation, long membershipEpoch)
        implements Command {}
