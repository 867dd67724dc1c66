package org.hornbeamward.command;

import org.hornbeamward.lib.WorkerId;

/**
 * Ends a worker's quarantine.
 *
 * @param commandId unique id of the operator's command
 * @param worker the worker
 */
public record ReleaseWorker(String commandId, WorkerId worker) implements IdentifiedCommand {}
