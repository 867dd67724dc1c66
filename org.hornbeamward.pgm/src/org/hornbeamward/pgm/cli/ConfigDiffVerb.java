package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.nio.file.Path;
import org.hornbeamward.pgm.settings.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Shows what publishing declared entries would change. */
@Command(name = "diff", description = "Shows what publishing declared entries would change.")
final class ConfigDiffVerb extends Verb {
    @Parameters(paramLabel = "PATH", description = "file or directory of declared entries")
    private Path mPath = Path.of("");

    @Option(names = "--partial", description = "keep entries in force that are not declared")
    private boolean mPartial;

    @Override
    Either<CliFailure, Result> run() {
        return withClient(client -> ConfigChange.compute(client, mPath, mPartial))
                .map(
                        change -> {
                            ObjectNode node = JsonDocuments.object();
                            node.put("baseVersion", change.baseVersion());
                            node.set("changedEntries", change.changes());
                            return Result.of(node, change.text());
                        });
    }
}
