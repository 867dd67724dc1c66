package org.hornbeamward.errors;

/**
 * Text that is not a valid name.
 *
 * @param kind the kind of object that the text should name
 * @param text the rejected text
 */
public record MalformedId(String kind, String text) implements HornbeamwardError {

    @Override
    public String message() {
        return "'"
                + text
                + "' is not a valid "
                + kind
                + " name; use 1 to 64 letters, digits, '.', '_' or '-'";
    }
}
