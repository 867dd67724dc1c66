package org.hornbeamward.pgm.cli;

import picocli.CommandLine.Command;

/** Verbs on entry instances. */
@Command(
        name = "member",
        description = "Verbs on entry instances.",
        synopsisSubcommandLabel = "VERB",
        subcommands = {MemberListVerb.class})
final class MemberGroup {}
