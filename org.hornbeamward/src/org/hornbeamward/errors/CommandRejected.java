package org.hornbeamward.errors;

/**
 * A command that was rejected by a rule of the state machine when its log offset was applied.
 *
 * @param subject what the command is about
 * @param reason the violated rule and the remedy
 */
public record CommandRejected(String subject, String reason) implements HornbeamwardError {

    @Override
    public String message() {
        return subject + ": " + reason;
    }
}
