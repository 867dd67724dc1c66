package org.hornbeamward.lib;

import io.vavr.control.Either;
import java.util.regex.Pattern;
import org.hornbeamward.errors.MalformedId;

/** The syntax shared by all names. */
final class IdSyntax {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");

    private IdSyntax() {}

    static Either<MalformedId, String> check(String kind, String text) {
        if (!NAME.matcher(text).matches()) {
            return Either.left(new MalformedId(kind, text));
        }
        return Either.right(text);
    }

    static void require(String kind, String text) {
        if (!NAME.matcher(text).matches()) {
            throw new IllegalArgumentException(new MalformedId(kind, text).message());
        }
    }
}
