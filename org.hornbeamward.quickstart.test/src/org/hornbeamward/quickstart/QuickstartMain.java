package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.HdrHistogram.Histogram;
import org.tinylog.configuration.Configuration;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** Runs all processes with stand-ins and reports the results of the ten rules. */
@CommandLine.Command(
        name = "quickstart",
        mixinStandardHelpOptions = true,
        description = "Runs the whole path on stand-ins and checks the ten rules.")
public final class QuickstartMain implements Callable<Integer> {
    @Option(names = "--deployment", description = "imbaraga or confirmare")
    private String mDeploymentName = "imbaraga";

    @Option(names = "--seed", description = "seed of the load and of the stand-ins")
    private long mSeed = 1;

    @Option(names = "--json", description = "print the results as JSON in the last line")
    private boolean mJson;

    @Option(names = "--answers", description = "folder of the answers files")
    private Path mAnswers = Path.of("deployments");

    /** Creates the command; picocli fills its options. */
    public QuickstartMain() {}

    /**
     * Starts the program.
     *
     * @param arguments options as listed by {@code --help}
     */
    public static void main(String[] arguments) {
        Configuration.set("level", "warn");
        System.exit(new CommandLine(new QuickstartMain()).execute(arguments));
    }

    @Override
    public Integer call() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("hornbeamward-quickstart");
        System.out.println("logs of the processes are in " + folder);
        Deployment deployment = Deployment.load(mAnswers.resolve(mDeploymentName + ".json"));
        Rules rules = new Rules();
        try (Http http = new Http()) {
            Scenario scenario = new Scenario(folder, deployment, mSeed, http);
            try {
                scenario.run();
                JsonNode workerEvents = scenario.platform().workerEvents();
                JsonNode endpointEvents = scenario.platform().endpointEvents();
                List<Attempt> attempts = scenario.callers().attempts();
                rules.checkWorkers(workerEvents, deployment, scenario.timeline());
                rules.checkRequests(endpointEvents, attempts, scenario.timeline());
                rules.checkConfig(scenario.timeline());
                return report(rules, attempts, workerEvents, endpointEvents, scenario.timeline());
            } finally {
                scenario.close();
            }
        }
    }

    private int report(
            Rules rules,
            List<Attempt> attempts,
            JsonNode workerEvents,
            JsonNode endpointEvents,
            Timeline timeline) {
        ObjectNode result = Http.JSON.createObjectNode();
        ObjectNode resultsByRule = Http.JSON.createObjectNode();
        int violations = 0;
        boolean allChecked = true;
        for (Rule rule : rules.all()) {
            System.out.println(rule.verdictLine());
            violations += rule.violationCount();
            allChecked &= rule.checkedCount() > 0;
            resultsByRule
                    .putObject(rule.key())
                    .put("checked", rule.checkedCount())
                    .put("violations", rule.violationCount());
        }
        result.put("violations", violations);
        result.set("rules", resultsByRule);
        addFigures(result, attempts, workerEvents, endpointEvents);
        ObjectNode figures = (ObjectNode) result.path("figures");
        figures.put("entryResidentMib", timeline.mEntryResidentMib);
        figures.put("entryCpuSeconds", timeline.mEntryCpuSeconds);
        figures.put("entryRunSeconds", timeline.mEntryRunSeconds);
        figures.put("entryControlCpuPercent", timeline.mEntryControlCpuPercent);
        figures.put("entryLogReadBytes", timeline.mLogReadBytes);
        figures.put("entryLogReadRecords", timeline.mLogReadRecords);
        if (mJson) {
            System.out.println(result);
        } else {
            System.out.println(result.path("figures").toPrettyString());
        }
        return violations == 0 && allChecked ? 0 : 1;
    }

    private void addFigures(
            ObjectNode result,
            List<Attempt> attempts,
            JsonNode workerEvents,
            JsonNode endpointEvents) {
        Histogram answeredMicros = new Histogram(3);
        attempts.stream()
                .filter(Attempt::answered)
                .forEach(
                        attempt ->
                                answeredMicros.recordValue(
                                        (attempt.endedNanos() - attempt.sentNanos()) / 1_000));
        ObjectNode figures = result.putObject("figures");
        figures.put("deployment", mDeploymentName).put("seed", mSeed);
        figures.put("requestCount", attempts.size());
        figures.put("answeredCount", answeredMicros.getTotalCount());
        figures.put("notRunCount", attempts.stream().filter(Attempt::notRun).count());
        figures.put(
                "unknownCount",
                attempts.stream().filter(attempt -> attempt.outcome().equals("unknown")).count());
        figures.put(
                "failedConnectionCount",
                attempts.stream().filter(attempt -> attempt.status() == 0).count());
        figures.put("answeredP50Millis", answeredMicros.getValueAtPercentile(50) / 1_000.0);
        figures.put("answeredP99Millis", answeredMicros.getValueAtPercentile(99) / 1_000.0);
        figures.put("effectCount", Rules.effectCount(endpointEvents));
        figures.put("taskStartCount", count(workerEvents, "started"));
        figures.put("taskResumeCount", count(workerEvents, "resumed"));
    }

    private static int count(JsonNode events, String kind) {
        int count = 0;
        for (JsonNode event : events) {
            count += event.path("kind").asText().equals(kind) ? 1 : 0;
        }
        return count;
    }
}
