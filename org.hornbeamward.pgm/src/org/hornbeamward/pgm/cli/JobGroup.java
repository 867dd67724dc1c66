package org.hornbeamward.pgm.cli;

import picocli.CommandLine.Command;

/** Verbs on jobs. */
@Command(
        name = "job",
        description = "Verbs on jobs.",
        synopsisSubcommandLabel = "VERB",
        subcommands = {
            JobSubmitVerb.class,
            JobListVerb.class,
            JobShowVerb.class,
            JobCancelVerb.class
        })
final class JobGroup {}
