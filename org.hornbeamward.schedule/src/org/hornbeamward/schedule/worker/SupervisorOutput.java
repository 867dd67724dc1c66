package org.hornbeamward.schedule.worker;

import java.util.List;
import org.hornbeamward.command.Command;

/**
 * What a supervisor wants to be done.
 *
 * @param messages messages to send, in order; one that cannot be sent is dropped
 * @param commands commands to append, in order; one that cannot be appended is dropped
 */
public record SupervisorOutput(List<OutgoingMessage> messages, List<Command> commands) {
    /** Copies the lists. */
    public SupervisorOutput {
        messages = List.copyOf(messages);
        commands = List.copyOf(commands);
    }
}
