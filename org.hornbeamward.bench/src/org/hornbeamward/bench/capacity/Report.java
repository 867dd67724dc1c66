package org.hornbeamward.bench.capacity;

import java.io.PrintWriter;
import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/** Collects figures by key and prints each one as soon as it is measured. */
final class Report {
    private final SortedMap<String, Double> mFigures = new TreeMap<>();
    private final PrintWriter mOut;

    Report(PrintWriter out) {
        mOut = out;
    }

    void add(String key, double value) {
        mFigures.put(key, value);
        mOut.printf("%s %.4f%n", key, value);
        mOut.flush();
    }

    /** Adds the points of a series and a straight line fitted to them. */
    LineFit series(String key, String perUnit, double[] x, double[] y) {
        for (int i = 0; i < x.length; i++) {
            add(key + ".at" + Math.round(x[i]) + perUnit, y[i]);
        }
        LineFit fit = LineFit.of(x, y);
        add(key + ".slopePer" + perUnit, fit.slope());
        add(key + ".interceptOf" + perUnit, fit.intercept());
        add(key + ".determinationOf" + perUnit, fit.determination());
        return fit;
    }

    SortedMap<String, Double> figures() {
        return Collections.unmodifiableSortedMap(mFigures);
    }
}
