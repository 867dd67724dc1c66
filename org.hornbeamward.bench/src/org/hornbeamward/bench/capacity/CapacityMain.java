package org.hornbeamward.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures how the cost of each role grows up to the target size; see docs/CAPACITY.md. */
@CommandLine.Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures memory, processor time and bytes against the size of a cluster.")
public final class CapacityMain implements Callable<Integer> {
    @Spec private @Nullable CommandSpec mSpec;

    @Option(names = "--seed", defaultValue = "1", description = "seed (default: 1)")
    private long mSeed = 1;

    @Option(names = "--json", description = "print one JSON object as the last line")
    private boolean mJson;

    @Option(
            names = "--only",
            description = "apply, decide, record, route, state or supervise; all if absent")
    private @Nullable String mOnly;

    /** Creates the command; picocli fills its options. */
    public CapacityMain() {}

    /**
     * Runs the command line.
     *
     * @param arguments options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new CapacityMain()).execute(arguments));
    }

    @Override
    public Integer call() throws JsonProcessingException {
        CommandLine commandLine = Objects.requireNonNull(mSpec).commandLine();
        PrintWriter out = commandLine.getOut();
        Report report = new Report(out);
        if (mOnly != null && !parts(report).containsKey(mOnly)) {
            throw new CommandLine.ParameterException(
                    commandLine, "--only names no part; see --help");
        }
        parts(report)
                .forEach(
                        (name, part) -> {
                            if (mOnly == null || mOnly.equals(name)) {
                                part.run();
                            }
                        });
        if (mJson) {
            Map<String, Object> json = new TreeMap<>(report.figures());
            json.put("seed", mSeed);
            out.println(new ObjectMapper().writeValueAsString(json));
        }
        out.flush();
        return 0;
    }

    private SortedMap<String, Runnable> parts(Report report) {
        SortedMap<String, Runnable> parts = new TreeMap<>();
        parts.put("apply", () -> new ApplyMeasure(report, mSeed).run());
        parts.put("decide", () -> new DecideMeasure(report, mSeed).run());
        parts.put("record", () -> new RecordMeasure(report, mSeed).run());
        parts.put("route", () -> new RouteMeasure(report, mSeed).run());
        parts.put("state", () -> new StateMeasure(report, mSeed).run());
        parts.put("supervise", () -> new SuperviseMeasure(report, mSeed).run());
        return parts;
    }
}
