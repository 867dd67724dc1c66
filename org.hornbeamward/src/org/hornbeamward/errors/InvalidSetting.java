package org.hornbeamward.errors;

/**
 * An invalid key or value in settings, configuration or answers.
 *
 * @param key path of the key
 * @param detail what is wrong and what is accepted
 */
public record InvalidSetting(String key, String detail) implements HornbeamwardError {

    @Override
    public String message() {
        return key + ": " + detail;
    }
}
