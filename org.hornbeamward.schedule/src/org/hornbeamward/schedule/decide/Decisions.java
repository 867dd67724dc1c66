package org.hornbeamward.schedule.decide;

import java.util.List;
import org.hornbeamward.command.Command;

/**
 * The outcome of one call of the decider. Immutable.
 *
 * @param commands commands for the log, at most {@link Decider#MAX_COMMANDS_PER_CALL}
 * @param advice wishes to supervisors
 */
public record Decisions(List<Command> commands, List<Advice> advice) {
    /** Copies the lists. */
    public Decisions {
        commands = List.copyOf(commands);
        advice = List.copyOf(advice);
    }
}
