package org.hornbeamward.command;

import org.hornbeamward.lib.WorkerId;

/**
 * Declares an incarnation of a worker ended after its lease.
 *
 * @param worker the worker
 * @param incarnation the incarnation
 */
public record LoseWorker(WorkerId worker, long incarnation) implements Command {}
