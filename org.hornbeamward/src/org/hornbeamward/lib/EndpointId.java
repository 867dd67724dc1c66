package org.hornbeamward.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The name of an endpoint, which answers callers' requests.
 *
 * @param value 1 to 64 letters, digits, {@code .}, {@code _} or {@code -}
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {

    /** Checks the syntax; a malformed value throws {@link IllegalArgumentException}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public EndpointId {
        IdSyntax.require("endpoint", value);
    }

    /**
     * Parses a name.
     *
     * @param text the name as written in settings, commands or records
     * @return the id, or an error that quotes the text
     */
    public static Either<MalformedId, EndpointId> parse(String text) {
        return IdSyntax.check("endpoint", text).map(EndpointId::new);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
