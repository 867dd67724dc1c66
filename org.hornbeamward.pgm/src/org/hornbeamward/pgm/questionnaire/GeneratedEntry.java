package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** A generated value, with the path of the answer that each of its fields derives from. */
final class GeneratedEntry {
    private final String mKey;
    private final ObjectNode mValue = JsonDocuments.object();
    private final Map<String, StringJoiner> mFieldsByOrigin = new LinkedHashMap<>();

    GeneratedEntry(String key) {
        mKey = key;
    }

    String key() {
        return mKey;
    }

    ObjectNode value() {
        return mValue;
    }

    /** Records the answer that a field, already present in the value, derives from. */
    GeneratedEntry from(String field, String answerPath) {
        mFieldsByOrigin.computeIfAbsent(answerPath, path -> new StringJoiner(", ")).add(field);
        return this;
    }

    /** Records the origin of fields whose answers have the same keys as the fields. */
    GeneratedEntry fromSameKeys(String sectionPath, String... fields) {
        for (String field : fields) {
            from(field, sectionPath);
        }
        return this;
    }

    /** Returns a one-line text that lists, for each answer, its fields and then its path. */
    String origin() {
        StringJoiner line = new StringJoiner("; ");
        mFieldsByOrigin.forEach((path, fields) -> line.add(fields + " from " + path));
        return line.toString();
    }
}
