package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Lists the jobs. */
@Command(name = "list", description = "Lists the jobs.")
final class JobListVerb extends Verb {
    @Override
    Either<CliFailure, Result> run() {
        return view(
                "/v1/jobs",
                list ->
                        TextTable.of(
                                list,
                                "job",
                                "team",
                                "kind",
                                "ended",
                                "pendingCount",
                                "placedCount",
                                "stoppingCount",
                                "endedCount",
                                "rejectReason"));
    }
}
