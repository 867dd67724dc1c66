package org.hornbeamward.errors;

/**
 * A command that a rule of the state machine refused at its offset.
 *
 * @param subject what the command concerned
 * @param reason the rule and the remedy
 */
public record CommandRejected(String subject, String reason) implements HornbeamwardError {

    @Override
    public String message() {
        return subject + ": " + reason;
    }
}
