package org.hornbeamward.bench;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.ServiceLoader;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.stream.StreamSupport;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Runs measurements of the decision code on a virtual clock. */
@CommandLine.Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Runs measurements of the decision code on a virtual clock.")
public final class BenchMain implements Callable<Integer> {
    @Spec private @Nullable CommandSpec mSpec;

    @Option(
            names = "--case",
            description = "placement, domain, limits, recovery or urgent; all if absent")
    private @Nullable String mCase;

    @Option(
            names = "--deployment",
            defaultValue = "imbaraga",
            description = "imbaraga or confirmare (default: imbaraga)")
    private String mDeployment = "imbaraga";

    @Option(names = "--seed", defaultValue = "1", description = "seed (default: 1)")
    private long mSeed = 1;

    @Option(names = "--json", description = "print one JSON object as the last line")
    private boolean mJson;

    /** Creates the command. */
    public BenchMain() {}

    /**
     * Runs the command line.
     *
     * @param arguments options
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new BenchMain()).execute(arguments));
    }

    @Override
    public Integer call() throws JsonProcessingException {
        CommandSpec spec = Objects.requireNonNull(mSpec);
        PrintWriter out = spec.commandLine().getOut();
        if (!List.of("imbaraga", "confirmare").contains(mDeployment)) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--deployment must be imbaraga or confirmare");
        }
        List<BenchCase> cases =
                StreamSupport.stream(ServiceLoader.load(BenchCase.class).spliterator(), false)
                        .filter(bench -> mCase == null || bench.name().equals(mCase))
                        .toList();
        if (cases.isEmpty()) {
            throw new CommandLine.ParameterException(
                    spec.commandLine(), "--case " + mCase + " is not registered");
        }
        Map<String, Object> json = new TreeMap<>();
        json.put("deployment", mDeployment);
        json.put("seed", mSeed);
        for (BenchCase bench : cases) {
            SortedMap<String, Double> figures = bench.run(mDeployment, mSeed);
            figures.forEach(
                    (key, value) -> {
                        json.put(bench.name() + "." + key, value);
                        if (!mJson) {
                            out.printf("%s.%s %.4f%n", bench.name(), key, value);
                        }
                    });
        }
        if (mJson) {
            out.println(new ObjectMapper().writeValueAsString(json));
        }
        out.flush();
        return 0;
    }
}
