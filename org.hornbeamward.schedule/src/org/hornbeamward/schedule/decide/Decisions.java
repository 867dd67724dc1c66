package org.hornbeamward.schedule.decide;

import java.util.List;
import org.hornbeamward.command.Command;

/**
 * The result of one call to {@link Decider#decide}. Immutable.
 *
 * @param commands commands for the log, at most {@link Decider#MAX_COMMANDS_PER_CALL}
 * @param advice requests to supervisors
 */
public record Decisions(List<Command> commands, List<Advice> advice) {
    /** Makes immutable copies of the lists. */
    public Decisions {
        commands = List.copyOf(commands);
        advice = List.copyOf(advice);
    }
}
