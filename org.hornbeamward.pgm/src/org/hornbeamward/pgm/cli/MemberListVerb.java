package org.hornbeamward.pgm.cli;

import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Lists the entry instances that are members. */
@Command(name = "list", description = "Lists the entry instances that are members.")
final class MemberListVerb extends Verb {
    @Override
    Either<CliFailure, Result> run() {
        return view(
                "/v1/members",
                list ->
                        TextTable.of(
                                list,
                                "instance",
                                "failureDomain",
                                "region",
                                "adminAddress",
                                "configVersion",
                                "suspectedBy"));
    }
}
