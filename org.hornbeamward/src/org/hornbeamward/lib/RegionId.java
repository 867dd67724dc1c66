package org.hornbeamward.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The name of a region, which holds one or more failure domains.
 *
 * @param value 1 to 64 letters, digits, {@code .}, {@code _} or {@code -}
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {

    /** Checks the syntax; a malformed value throws {@link IllegalArgumentException}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public RegionId {
        IdSyntax.require("region", value);
    }

    /**
     * Parses a name.
     *
     * @param text the name as written in settings, commands or records
     * @return the id, or an error that quotes the text
     */
    public static Either<MalformedId, RegionId> parse(String text) {
        return IdSyntax.check("region", text).map(RegionId::new);
    }

    @Override
    public int compareTo(RegionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
