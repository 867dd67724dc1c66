package org.hornbeamward.transport.message;

import org.hornbeamward.lib.WorkerId;

/**
 * Tells the supervisor of a worker how the decider wants a running task to be throttled or
 * checkpointed. The message may be lost.
 *
 * @param worker the worker
 * @param token fencing token of the placement
 * @param throttlePercent percentage of the declared CPU that the task may use, 1 to 100; 0 asks for
 *     a checkpoint
 */
public record TaskAdvice(WorkerId worker, long token, int throttlePercent) implements PeerMessage {}
