package org.hornbeamward.state;

import org.hornbeamward.command.Command;
import org.hornbeamward.errors.HornbeamwardError;
import org.jspecify.annotations.Nullable;

/**
 * The result of applying one command at its offset.
 *
 * @param token fencing token derived from the command's position in the log; also the new version
 *     if the command is an accepted change of the configuration or of a failure domain
 * @param command the command
 * @param rejection why the command was rejected, or null if it was accepted
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
