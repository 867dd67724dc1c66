package org.hornbeamward.quickstart;

import java.util.ArrayList;
import java.util.List;

/** The count of one rule: what was checked and what broke it. */
final class Rule {
    private static final int SHOWN_COUNT = 3;

    private final String mKey;
    private final String mText;
    private long mChecked;
    private final List<String> mViolations = new ArrayList<>();

    Rule(String key, String text) {
        mKey = key;
        mText = text;
    }

    void checked() {
        mChecked++;
    }

    void check(boolean kept, String violation) {
        mChecked++;
        if (!kept) {
            mViolations.add(violation);
        }
    }

    String key() {
        return mKey;
    }

    long checkedCount() {
        return mChecked;
    }

    int violationCount() {
        return mViolations.size();
    }

    String line() {
        StringBuilder line = new StringBuilder();
        line.append(mViolations.isEmpty() && mChecked > 0 ? "ok   " : "FAIL ");
        line.append(String.format("%7d checked %4d violations  ", mChecked, mViolations.size()));
        line.append(mText);
        mViolations.stream()
                .limit(SHOWN_COUNT)
                .forEach(violation -> line.append("\n       ").append(violation));
        return line.toString();
    }
}
