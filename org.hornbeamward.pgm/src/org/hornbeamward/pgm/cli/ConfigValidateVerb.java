package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import java.nio.file.Path;
import org.hornbeamward.pgm.settings.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks declared entries without an entry instance. */
@Command(name = "validate", description = "Checks declared entries without an entry instance.")
final class ConfigValidateVerb extends Verb {
    @Parameters(paramLabel = "PATH", description = "file or directory of declared entries")
    private Path mPath = Path.of("");

    @Override
    Either<CliFailure, Result> run() {
        return Declarations.read(mPath)
                .flatMap(declared -> declared.validate().map(valid -> declared.size()))
                .mapLeft(CliFailure::badInput)
                .map(
                        count ->
                                Result.of(
                                        JsonDocuments.object().put("entryCount", count),
                                        count + " entries are valid"));
    }
}
