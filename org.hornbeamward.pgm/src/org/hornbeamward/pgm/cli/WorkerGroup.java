package org.hornbeamward.pgm.cli;

import picocli.CommandLine.Command;

/** Verbs on workers. */
@Command(
        name = "worker",
        description = "Verbs on workers.",
        synopsisSubcommandLabel = "VERB",
        subcommands = {WorkerListVerb.class, WorkerReleaseVerb.class})
final class WorkerGroup {}
