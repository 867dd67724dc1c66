package org.hornbeamward.quickstart;

import java.util.ArrayList;
import java.util.List;

/** Rule with the number of checks made and the violations found. */
final class Rule {
    private static final int MAX_SHOWN_COUNT = 3;

    private final String mKey;
    private final String mText;
    private long mCheckedCount;
    private final List<String> mViolations = new ArrayList<>();

    Rule(String key, String text) {
        mKey = key;
        mText = text;
    }

    void countCheck() {
        mCheckedCount++;
    }

    void check(boolean holds, String violation) {
        mCheckedCount++;
        if (!holds) {
            mViolations.add(violation);
        }
    }

    String key() {
        return mKey;
    }

    long checkedCount() {
        return mCheckedCount;
    }

    int violationCount() {
        return mViolations.size();
    }

    String verdictLine() {
        StringBuilder line = new StringBuilder();
        line.append(mViolations.isEmpty() && mCheckedCount > 0 ? "ok   " : "FAIL ");
        line.append(
                String.format("%7d checked %4d violations  ", mCheckedCount, mViolations.size()));
        line.append(mText);
        mViolations.stream()
                .limit(MAX_SHOWN_COUNT)
                .forEach(violation -> line.append("\n       ").append(violation));
        return line.toString();
    }
}
