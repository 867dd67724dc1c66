package org.hornbeamward.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The name of a failure domain.
 *
 * @param value 1 to 64 letters, digits, {@code .}, {@code _} or {@code -}
 */
public record FailureDomainId(@JsonValue String value) implements Comparable<FailureDomainId> {

    /** Checks the syntax; a malformed value throws {@link IllegalArgumentException}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public FailureDomainId {
        IdSyntax.require("failure domain", value);
    }

    /**
     * Parses a name.
     *
     * @param text the name as written in settings, commands or records
     * @return the id, or an error that quotes the text
     */
    public static Either<MalformedId, FailureDomainId> parse(String text) {
        return IdSyntax.check("failure domain", text).map(FailureDomainId::new);
    }

    @Override
    public int compareTo(FailureDomainId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
