package org.hornbeamward.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The name of an entry instance.
 *
 * @param value 1 to 64 letters, digits, {@code .}, {@code _} or {@code -}
 */
public record InstanceId(@JsonValue String value) implements Comparable<InstanceId> {

    /** Checks the syntax; a malformed value throws {@link IllegalArgumentException}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public InstanceId {
        IdSyntax.require("instance", value);
    }

    /**
     * Parses a name.
     *
     * @param text the name as written in settings, commands or records
     * @return the id, or an error that quotes the text
     */
    public static Either<MalformedId, InstanceId> parse(String text) {
        return IdSyntax.check("instance", text).map(InstanceId::new);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
