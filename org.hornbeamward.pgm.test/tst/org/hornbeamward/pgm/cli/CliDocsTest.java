package org.hornbeamward.pgm.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

class CliDocsTest {
    private final CommandLine mCommandLine =
            HornbeamwardMain.commandLine(new BufferedReader(new StringReader("")));

    /**
     * Guards against an undocumented verb or exit code, and against a verb that tunes placement.
     */
    @Test
    void everyVerbAndExitCodeIsDocumented() throws IOException {
        String page = Files.readString(Path.of("../docs/cli.md"));
        List<String> verbs = new ArrayList<>();
        collectVerbs("", mCommandLine.getSubcommands(), verbs);
        for (String verb : verbs) {
            assertTrue(page.contains("| `" + verb), verb);
            assertFalse(verb.contains("policy") || verb.contains("place"), verb);
        }
        long rowCount = page.lines().filter(line -> line.matches("\\| [0-9] \\|.*")).count();
        assertEquals(mCommandLine.getCommandSpec().usageMessage().exitCodeList().size(), rowCount);
    }

    /**
     * Guards against an invalid option definition, which picocli reports only when its verb runs.
     */
    @Test
    void everyVerbPrintsItsHelp() {
        List<String> verbs = new ArrayList<>();
        collectVerbs("", mCommandLine.getSubcommands(), verbs);
        for (String verb : verbs) {
            StringWriter out = new StringWriter();
            int exitCode =
                    HornbeamwardMain.run(
                            new BufferedReader(new StringReader("")),
                            new PrintWriter(out),
                            new PrintWriter(out),
                            (verb + " --help").split(" "));
            assertEquals(ExitCodes.DONE, exitCode, verb);
            assertTrue(out.toString().contains("hornbeamward " + verb), out.toString());
        }
    }

    private static void collectVerbs(
            String prefix, Map<String, CommandLine> commands, List<String> verbs) {
        commands.forEach(
                (name, command) -> {
                    if (command.getSubcommands().isEmpty()) {
                        verbs.add(prefix + name);
                    }
                    collectVerbs(prefix + name + " ", command.getSubcommands(), verbs);
                });
    }
}
