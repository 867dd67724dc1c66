package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Lists the workers. */
@Command(name = "list", description = "Lists the workers.")
final class WorkerListVerb extends Verb {
    @Override
    Either<CliFailure, Result> run() {
        return view(
                "/v1/workers",
                list ->
                        TextTable.of(
                                list,
                                "worker",
                                "failureDomain",
                                "rack",
                                "quarantined",
                                "heldTaskCount",
                                "committed.cpuMillicores",
                                "capacity.cpuMillicores",
                                "committed.memoryMib",
                                "capacity.memoryMib"));
    }
}
