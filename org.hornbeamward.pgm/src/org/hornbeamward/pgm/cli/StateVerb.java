package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import org.hornbeamward.pgm.settings.JsonDocuments;
import picocli.CommandLine.Command;

/** Dumps the state of an entry process for debugging. */
@Command(name = "state", description = "Dumps the state of the asked entry process as JSON.")
final class StateVerb extends Verb {
    @Override
    Either<CliFailure, Result> run() {
        return view("/v1/state", JsonDocuments::pretty);
    }
}
