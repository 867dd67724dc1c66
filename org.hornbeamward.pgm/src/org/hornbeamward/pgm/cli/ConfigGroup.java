package org.hornbeamward.pgm.cli;

import picocli.CommandLine.Command;

/** Verbs on the configuration. */
@Command(
        name = "config",
        description = "Verbs on the configuration.",
        synopsisSubcommandLabel = "VERB",
        subcommands = {
            ConfigValidateVerb.class,
            ConfigDiffVerb.class,
            ConfigPublishVerb.class,
            ConfigShowVerb.class,
            ConfigHistoryVerb.class
        })
final class ConfigGroup {}
