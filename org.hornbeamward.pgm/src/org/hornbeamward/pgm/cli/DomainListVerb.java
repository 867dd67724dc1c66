package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Lists the failure domains. */
@Command(name = "list", description = "Lists the failure domains.")
final class DomainListVerb extends Verb {
    @Override
    Either<CliFailure, Result> run() {
        return view(
                "/v1/domains",
                list ->
                        TextTable.of(
                                list,
                                "failureDomain",
                                "inService",
                                "version",
                                "workerCount",
                                "heldTaskCount"));
    }
}
