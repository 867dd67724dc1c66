package org.hornbeamward.errors;

import java.util.List;
import java.util.stream.Collectors;

/**
 * All invalid keys and values found in one document.
 *
 * @param problems every problem, at least one
 */
public record InvalidSettings(List<InvalidSetting> problems) implements HornbeamwardError {

    @Override
    public String message() {
        return problems.stream().map(InvalidSetting::message).collect(Collectors.joining("; "));
    }
}
