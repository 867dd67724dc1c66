package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.hornbeamward.config.Configuration;
import org.hornbeamward.pgm.cli.ExitCodes;
import org.hornbeamward.pgm.questionnaire.GeneratedFiles;
import org.hornbeamward.pgm.questionnaire.Questionnaire;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class QuestionnaireTest {
    /** Guards against unchanged answers that generate different files than before. */
    @ParameterizedTest
    @ValueSource(strings = {"tiny", "imbaraga", "confirmare"})
    void sameAnswersGiveTheApprovedFiles(String deployment) {
        GeneratedFiles files = Questionnaire.generate(answers(deployment)).get();
        Approvals.verify(
                files.configText() + "\n" + files.jobsText(),
                Approvals.NAMES.withParameters(deployment).withReporter(new QuietReporter()));
    }

    /** Guards against generated entries that the state machine would reject. */
    @ParameterizedTest
    @ValueSource(strings = {"tiny", "imbaraga", "confirmare"})
    void generatedConfigurationIsValid(String deployment) {
        GeneratedFiles files = Questionnaire.generate(answers(deployment)).get();
        TreeMap<String, String> entries = new TreeMap<>();
        JsonDocuments.parse("config", files.configText())
                .get()
                .properties()
                .forEach(entry -> entries.put(entry.getKey(), entry.getValue().toString()));
        Configuration configuration = Configuration.parse(entries).get();
        int slotCount =
                configuration.endpoints().values().stream().mapToInt(e -> e.slotCount()).sum();
        assertEquals(deployment.equals("tiny") ? 32 : 240, slotCount);
    }

    /** Guards against contradictory answers that would fail only in operation. */
    @Test
    void contradictionsNameTheAnswer() {
        assertRejected(
                "services[0].agreedPeriodMillis",
                a -> firstItem(a, "services").put("agreedPeriodMillis", 21));
        assertRejected(
                "services[0].requestTimeoutMillis",
                a -> firstItem(a, "services").put("requestTimeoutMillis", 199));
        assertRejected(
                "services[0].peakRequestsPerSecond",
                a -> firstItem(a, "services").put("peakRequestsPerSecond", 900));
        assertRejected(
                "batchJobs[0].cpuMillicores",
                a -> firstItem(a, "batchJobs").put("cpuMillicores", 4001));
        assertRejected(
                "teams[0].quotaCpuCount", a -> firstItem(a, "teams").put("quotaCpuCount", 17));
        assertRejected(
                "deployment.quotaOvercommitPercent",
                a -> firstItem(a, "teams").put("quotaCpuCount", 9));
        assertRejected("services[0].taskCount", a -> firstItem(a, "services").put("taskCount", 9));
        assertRejected("batchJobs[0].team", a -> firstItem(a, "batchJobs").put("team", "none"));
        assertRejected(
                "endpoints[0].connectionCount",
                a -> firstItem(a, "endpoints").put("connectionCount", 7));
        assertRejected("batchJobs[0].name", a -> firstItem(a, "batchJobs").put("name", "loan"));
    }

    /** Guards against wrong types and unknown keys that are silently ignored. */
    @Test
    void wrongAnswersAreReportedWithTheirPath() {
        assertRejected("colour", a -> a.put("colour", 1));
        assertRejected("teams[0].colour", a -> firstItem(a, "teams").put("colour", 1));
        assertRejected("teams[0].name", a -> firstItem(a, "teams").put("name", "a b"));
        assertRejected(
                "teams[0].toleranceForDelay",
                a -> firstItem(a, "teams").remove("toleranceForDelay"));
        assertRejected("workers[0].count", a -> firstItem(a, "workers").put("count", "two"));
        assertRejected(
                "services[0].idempotentMethods",
                a -> firstItem(a, "services").put("idempotentMethods", "GET"));
        assertRejected("failureDomains", a -> a.putArray("failureDomains"));
        assertRejected("network", a -> a.put("network", 3));
    }

    /** Guards against losing the answers of an interrupted interview. */
    @Test
    void interviewChecksEachAnswerAndResumes(@TempDir Path directory) throws IOException {
        String save = directory.resolve("answers.json").toString();
        String out = directory.resolve("out").toString();
        CliRun first = CliRun.withInput("a b\nsmall\n\n1\n", arguments(save, out));
        assertEquals(ExitCodes.BAD_INPUT, first.exitCode());
        assertTrue(first.err().contains("not accepted"), first.err());
        assertFalse(Files.exists(Path.of(out)));
        String rest =
                "1\neast\nhere\nno\neast\n2\n2\n4\n8\n\nno\ndesk\nnone\n99\n8\n\nno\nno\nno\nno\n"
                        + "teams[0].quotaCpuCount\n8\n";
        CliRun second = CliRun.withInput(rest, arguments(save, out));
        assertEquals(ExitCodes.DONE, second.exitCode(), second.err());
        assertTrue(second.err().contains("the quota exceeds"), second.err());
        assertTrue(Files.readString(Path.of(out, "config.json")).contains("\"team/desk\""));
        CliRun review = CliRun.of("questionnaire", "--review", "--answers", save);
        assertTrue(review.out().contains("\"desk\""), review.out());
    }

    private static String[] arguments(String save, String out) {
        return new String[] {"questionnaire", "--save", save, "--out", out};
    }

    private static void assertRejected(String path, Consumer<ObjectNode> change) {
        ObjectNode answers = answers("tiny");
        change.accept(answers);
        var result = Questionnaire.generate(answers);
        assertTrue(result.isLeft(), path);
        String message = result.getLeft().message();
        assertTrue(message.contains(path + ": "), path + " is not in: " + message);
    }

    private static ObjectNode firstItem(ObjectNode answers, String section) {
        return (ObjectNode) ((ArrayNode) answers.get(section)).get(0);
    }

    private static ObjectNode answers(String deployment) {
        return JsonDocuments.readFile(Path.of("../deployments/" + deployment + ".json")).get();
    }
}
