package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.hornbeamward.pgm.settings.JsonDocuments;

/**
 * The output of the questionnaire: JSON documents with a comment before each value that names the
 * answers it derives from. Immutable.
 */
public final class GeneratedFiles {
    private final String mDeployment;
    private final List<GeneratedEntry> mEntries;
    private final List<GeneratedEntry> mJobs;

    GeneratedFiles(String deployment, List<GeneratedEntry> entries, List<GeneratedEntry> jobs) {
        mDeployment = deployment;
        mEntries = entries;
        mJobs = jobs;
    }

    /**
     * Returns the configuration file, as {@code hornbeamward config publish} reads it.
     *
     * @return entries by key, JSON with comments
     */
    public String configText() {
        StringBuilder text = header();
        for (int index = 0; index < mEntries.size(); index++) {
            GeneratedEntry entry = mEntries.get(index);
            text.append("  // ").append(entry.origin()).append("\n  \"");
            text.append(entry.key()).append("\": ");
            text.append(JsonDocuments.compact(entry.value()));
            text.append(index + 1 < mEntries.size() ? ",\n" : "\n");
        }
        return text.append("}\n").toString();
    }

    /**
     * Returns the jobs file, as {@code hornbeamward job submit} reads it.
     *
     * @return an array of declarations under the key jobs, JSON with comments
     */
    public String jobsText() {
        StringBuilder text = header().append("  \"jobs\": [\n");
        for (int index = 0; index < mJobs.size(); index++) {
            GeneratedEntry job = mJobs.get(index);
            text.append("    // ").append(job.origin()).append("\n    ");
            text.append(JsonDocuments.compact(job.value()));
            text.append(index + 1 < mJobs.size() ? ",\n" : "\n");
        }
        return text.append("  ]\n}\n").toString();
    }

    /**
     * Returns both documents without comments.
     *
     * @return an object with the keys config and jobs
     */
    public ObjectNode json() {
        ObjectNode node = JsonDocuments.object();
        ObjectNode config = node.putObject("config");
        mEntries.forEach(entry -> config.set(entry.key(), entry.value()));
        ArrayNode jobs = node.putArray("jobs");
        mJobs.forEach(job -> jobs.add(job.value()));
        return node;
    }

    private StringBuilder header() {
        return new StringBuilder("// Generated from the answers of ")
                .append(mDeployment)
                .append("; change the answers and generate again.\n{\n");
    }
}
