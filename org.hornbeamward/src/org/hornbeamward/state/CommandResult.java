package org.hornbeamward.state;

import org.hornbeamward.command.Command;
import org.hornbeamward.errors.HornbeamwardError;
import org.jspecify.annotations.Nullable;

/**
 * What became of one command at its offset.
 *
 * @param token fencing token of the command's place in the log; also the version that an accepted
 *     configuration or failure domain change creates
 * @param command the command
 * @param rejection the rule that refused it, or null if it was accepted
 */
public record CommandResult(long token, Command command, @Nullable HornbeamwardError rejection) {

    /**
     * Tells whether the command took effect.
     *
     * @return true if it was accepted
     */
    public boolean accepted() {
        return rejection == null;
    }
}
