package org.hornbeamward.pgm.test;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import org.hornbeamward.pgm.cli.HornbeamwardMain;

/**
 * The result of one run of the command-line program.
 *
 * @param exitCode exit code of the program
 * @param out text printed to the result output
 * @param err text printed to the error output: failures and prompts
 */
record CliRun(int exitCode, String out, String err) {
    static CliRun of(String... arguments) {
        return withInput("", arguments);
    }

    static CliRun withInput(String input, String... arguments) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode =
                HornbeamwardMain.run(
                        new BufferedReader(new StringReader(input)),
                        new PrintWriter(out),
                        new PrintWriter(err),
                        arguments);
        return new CliRun(exitCode, out.toString(), err.toString());
    }
}
