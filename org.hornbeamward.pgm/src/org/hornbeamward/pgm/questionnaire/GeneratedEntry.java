package org.hornbeamward.pgm.questionnaire;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.StringJoiner;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** One generated value with the path of the answer behind each of its fields. */
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

    /** Notes that a field, which is in the value already, came from an answer. */
    GeneratedEntry from(String field, String answerPath) {
        mFieldsByOrigin.computeIfAbsent(answerPath, path -> new StringJoiner(", ")).add(field);
        return this;
    }

    /** Notes fields whose answers have the same keys as the fields. */
    GeneratedEntry fromSameKeys(String sectionPath, String... fields) {
        for (String field : fields) {
            from(field, sectionPath);
        }
        return this;
    }

    /** Returns one line: the fields of each answer, then its path. */
    String origin() {
        StringJoiner line = new StringJoiner("; ");
        mFieldsByOrigin.forEach((path, fields) -> line.add(fields + " from " + path));
        return line.toString();
    }
}
