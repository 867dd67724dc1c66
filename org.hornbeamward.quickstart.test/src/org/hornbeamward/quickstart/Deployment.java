package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.hornbeamward.pgm.questionnaire.Questionnaire;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** Answers file of a deployment and the configuration generated from it. */
final class Deployment {
    private final ObjectNode mAnswers;
    private final ObjectNode mGenerated;

    private Deployment(ObjectNode answers, ObjectNode generated) {
        mAnswers = answers;
        mGenerated = generated;
    }

    static Deployment load(Path file) throws IOException {
        ObjectNode answers =
                JsonDocuments.readFile(file)
                        .getOrElseThrow(error -> new IOException(error.message()));
        ObjectNode generated =
                Questionnaire.generate(answers)
                        .getOrElseThrow(error -> new IOException(error.message()))
                        .json();
        return new Deployment(answers, generated);
    }

    List<String> failureDomains() {
        List<String> names = new ArrayList<>();
        mAnswers.path("failureDomains").forEach(domain -> names.add(domain.path("name").asText()));
        return names;
    }

    String region() {
        return mAnswers.path("failureDomains").path(0).path("region").asText();
    }

    int workerCount() {
        int count = 0;
        for (JsonNode group : mAnswers.path("workers")) {
            count += group.path("count").asInt();
        }
        return count;
    }

    JsonNode firstWorkerGroup() {
        return mAnswers.path("workers").path(0);
    }

    String batchTeam() {
        return mAnswers.path("batchJobs").path(0).path("team").asText();
    }

    JsonNode jobs() {
        return mGenerated.path("jobs");
    }

    /** Returns the generated configuration entries by key. */
    SortedMap<String, JsonNode> config() {
        SortedMap<String, JsonNode> entries = new TreeMap<>();
        Iterator<Map.Entry<String, JsonNode>> fields = mGenerated.path("config").fields();
        fields.forEachRemaining(field -> entries.put(field.getKey(), field.getValue()));
        return entries;
    }

    List<String> endpoints() {
        return config().keySet().stream()
                .filter(key -> key.startsWith("endpoint/"))
                .map(key -> key.substring("endpoint/".length()))
                .toList();
    }

    List<String> services() {
        return config().keySet().stream()
                .filter(key -> key.startsWith("service/"))
                .map(key -> key.substring("service/".length()))
                .toList();
    }
}
