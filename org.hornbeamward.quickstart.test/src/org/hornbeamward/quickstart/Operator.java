package org.hornbeamward.quickstart;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.pgm.cli.HornbeamwardMain;

/** Runs verbs of the command-line program against the entry instances. */
final class Operator {
    private final List<Entry> mEntries;

    /**
     * Result of a verb.
     *
     * @param exitCode exit code of the verb
     * @param output text printed to standard output and standard error
     */
    record Result(int exitCode, String output) {}

    Operator(List<Entry> entries) {
        mEntries = entries;
    }

    Result run(String... words) {
        return runAt(List.copyOf(mEntries), words);
    }

    static Result runAt(List<Entry> entries, String... words) {
        List<String> arguments = new ArrayList<>();
        entries.forEach(
                entry -> {
                    arguments.add("--admin");
                    arguments.add(entry.adminAddress());
                });
        arguments.addAll(List.of(words));
        StringWriter text = new StringWriter();
        PrintWriter writer = new PrintWriter(text, true);
        int exitCode =
                HornbeamwardMain.run(
                        new BufferedReader(new StringReader("")),
                        writer,
                        writer,
                        arguments.toArray(String[]::new));
        return new Result(exitCode, text.toString());
    }
}
