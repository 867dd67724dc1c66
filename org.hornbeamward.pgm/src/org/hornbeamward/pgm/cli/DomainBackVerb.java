package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Brings a failure domain back into service. */
@Command(name = "back", description = "Brings a failure domain back into service.")
final class DomainBackVerb extends Verb {
    @Mixin private DomainChange mChange = new DomainChange();

    @Override
    Either<CliFailure, Result> run() {
        return withClient(
                client ->
                        mChange.send(
                                client, "back", DomainChange.emptyBody(), "is back in service"));
    }
}
