package org.hornbeamward.pgm.cli;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine;
import picocli.CommandLine.IFactory;

/** Entry point of the program {@code hornbeamward}. */
public final class HornbeamwardMain {
    private HornbeamwardMain() {}

    /**
     * Runs one verb and exits with its exit code.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        PrintWriter err = new PrintWriter(System.err, true, StandardCharsets.UTF_8);
        BufferedReader in =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        System.exit(run(in, out, err, arguments));
    }

    /**
     * Runs one verb.
     *
     * @param in input for the questions of the questionnaire
     * @param out output for results
     * @param err output for human-readable failures and for prompts
     * @param arguments command line
     * @return one of {@link ExitCodes}
     */
    public static int run(
            BufferedReader in, PrintWriter out, PrintWriter err, String... arguments) {
        CommandLine commandLine = commandLine(in);
        commandLine.setOut(out);
        commandLine.setErr(err);
        commandLine.setCaseInsensitiveEnumValuesAllowed(true);
        commandLine.setExecutionExceptionHandler(
                (exception, line, parsed) -> {
                    line.getErr()
                            .println(
                                    "internal fault: "
                                            + exception
                                            + "; report it with the command line");
                    return ExitCodes.INTERNAL_FAULT;
                });
        int exitCode = commandLine.execute(arguments);
        out.flush();
        err.flush();
        return exitCode;
    }

    static CommandLine commandLine(BufferedReader in) {
        return new CommandLine(new HornbeamwardCommand(), verbFactory(in));
    }

    private static IFactory verbFactory(BufferedReader in) {
        IFactory standard = CommandLine.defaultFactory();
        return new IFactory() {
            @Override
            public <K> K create(Class<K> type) throws Exception {
                return type == QuestionnaireVerb.class
                        ? type.cast(new QuestionnaireVerb(in))
                        : standard.create(type);
            }
        };
    }
}
