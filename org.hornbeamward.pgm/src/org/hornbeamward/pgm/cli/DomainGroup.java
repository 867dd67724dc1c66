package org.hornbeamward.pgm.cli;

import picocli.CommandLine.Command;

/** Verbs on failure domains. */
@Command(
        name = "domain",
        description = "Verbs on failure domains.",
        synopsisSubcommandLabel = "VERB",
        subcommands = {DomainListVerb.class, DomainOutVerb.class, DomainBackVerb.class})
final class DomainGroup {}
