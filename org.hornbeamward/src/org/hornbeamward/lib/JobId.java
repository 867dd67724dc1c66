package org.hornbeamward.lib;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The name of a job.
 *
 * @param value 1 to 64 letters, digits, {@code .}, {@code _} or {@code -}
 */
public record JobId(@JsonValue String value) implements Comparable<JobId> {

    /** Checks the syntax; a malformed value throws {@link IllegalArgumentException}. */
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public JobId {
        IdSyntax.require("job", value);
    }

    /**
     * Parses a name.
     *
     * @param text the name as written in settings, commands or records
     * @return the id, or an error that quotes the text
     */
    public static Either<MalformedId, JobId> parse(String text) {
        return IdSyntax.check("job", text).map(JobId::new);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
