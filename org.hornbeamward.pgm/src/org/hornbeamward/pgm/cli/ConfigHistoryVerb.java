package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Lists the accepted configuration changes that the queried instance has applied. */
@Command(
        name = "history",
        description = "Lists the accepted changes that the asked instance has applied.")
final class ConfigHistoryVerb extends Verb {
    @Override
    Either<CliFailure, Result> run() {
        return view(
                "/v1/config/history",
                list -> TextTable.of(list, "version", "time", "commandId", "changedKeys"));
    }
}
