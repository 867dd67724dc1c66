package org.hornbeamward.bench.capacity;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.util.Map;
import java.util.Objects;
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
        PrintWriter out = Objects.requireNonNull(mSpec).commandLine().getOut();
        Report report = new Report(out);
        new StateMeasure(report, mSeed).run();
        new ApplyMeasure(report, mSeed).run();
        new RecordMeasure(report, mSeed).run();
        new DecideMeasure(report, mSeed).run();
        new SuperviseMeasure(report, mSeed).run();
        new RouteMeasure(report, mSeed).run();
        if (mJson) {
            Map<String, Object> json = new TreeMap<>(report.figures());
            json.put("seed", mSeed);
            out.println(new ObjectMapper().writeValueAsString(json));
        }
        out.flush();
        return 0;
    }
}
