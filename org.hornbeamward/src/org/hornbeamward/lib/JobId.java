package org.hornbeamward.lib;

import io.vavr.control.Either;
import org.hornbeamward.errors.MalformedId;

/**
 * The name of a job.
 *
 * @param value 1 to 64 characters out of letters, digits, {@code .}, {@code _} and {@code -}
 */
public record JobId(String value) implements Comparable<JobId> {

    /**
     * Parses a name.
     *
     * @param text the name as written in settings, commands or records
     * @return the id, or an error that holds the text
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
