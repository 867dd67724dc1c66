package org.hornbeamward.schedule.worker;

import java.util.List;
import org.hornbeamward.command.Command;

/**
 * Messages and commands produced by one call to {@link WorkerSupervisor#tick}.
 *
 * @param messages messages to send, in order; one that cannot be sent is dropped
 * @param commands commands to append, in order; one that cannot be appended is dropped
 */
public record SupervisorOutput(List<OutgoingMessage> messages, List<Command> commands) {
    /** Makes immutable copies of the lists. */
    public SupervisorOutput {
        messages = List.copyOf(messages);
        commands = List.copyOf(commands);
    }
}
