package org.hornbeamward.command;

import org.hornbeamward.lib.WorkerId;

/**
 * Declares an incarnation of a worker lost after its lease has expired.
 *
 * @param worker the worker
 * @param incarnation the incarnation
 * @param membershipEpoch membership epoch in which the author supervised the worker; the command is
 *     rejected after any change of membership, because another member may have renewed the lease
 */
public record RemoveLostWorker(WorkerId worker, long incarnation, long membershipEpoch)
        implements Command {}
