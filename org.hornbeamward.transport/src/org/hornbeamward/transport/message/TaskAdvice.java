package org.hornbeamward.transport.message;

import org.hornbeamward.lib.WorkerId;

/**
 * Tells the supervisor of a worker what the decider wishes for a running task. It may be lost.
 *
 * @param worker the worker
 * @param token fencing token of the task's placement
 * @param throttlePercent share of the declared processors that it may use, 1 to 100; 0 asks for a
 *     checkpoint
 */
public record TaskAdvice(WorkerId worker, long token, int throttlePercent) implements PeerMessage {}
