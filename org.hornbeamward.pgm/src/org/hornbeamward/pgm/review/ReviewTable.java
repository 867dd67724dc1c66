package org.hornbeamward.pgm.review;

import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.StringJoiner;

/** Formats a review as a text table or as CSV. */
public final class ReviewTable {
    private static final double MICROS_PER_MILLI = 1000.0;
    private static final String ROW_FORMAT = "%-12s  %-20s  %-24s  %16s  %16s  %9s";

    private ReviewTable() {}

    /**
     * Returns a table with aligned columns. Latencies are in milliseconds; an asterisk marks a
     * month with gaps.
     *
     * @param review the review
     * @return lines without a trailing line break
     */
    public static String text(Review review) {
        StringJoiner lines = new StringJoiner("\n");
        lines.add("definitions version " + review.definitionVersion());
        String month = review.month() + (review.monthHasGaps() ? "*" : "");
        String against =
                review.againstMonth()
                        .map(name -> name + (review.againstHasGaps() ? "*" : ""))
                        .orElse("");
        lines.add(formatLine("about", "name", "figure", month, against, ""));
        for (Review.Row row : review.rows()) {
            lines.add(
                    formatLine(
                            row.definition().scope().name().toLowerCase(Locale.ROOT),
                            row.subject(),
                            row.definition().key(),
                            formatValue(row.definition(), row.value()),
                            against.isEmpty() ? "" : formatValue(row.definition(), row.against()),
                            against.isEmpty() ? "" : formatChange(row)));
        }
        review.remarks().forEach(remark -> lines.add("* " + remark));
        return lines.toString();
    }

    /**
     * Returns comma-separated values with a header line, in the units of the definitions. The last
     * columns tell whether each month is complete.
     *
     * @param review the review
     * @return lines without a trailing line break
     */
    public static String csv(Review review) {
        StringJoiner lines = new StringJoiner("\n");
        lines.add(
                "about,name,figure,unit,definitionVersion,month,value,complete,"
                        + "againstMonth,againstValue,againstComplete");
        for (Review.Row row : review.rows()) {
            List<String> cells =
                    List.of(
                            row.definition().scope().name().toLowerCase(Locale.ROOT),
                            quote(row.subject()),
                            row.definition().key(),
                            row.definition().unit(),
                            String.valueOf(review.definitionVersion()),
                            review.month(),
                            rawValue(row.value()),
                            String.valueOf(!review.monthHasGaps()),
                            review.againstMonth().orElse(""),
                            rawValue(row.against()),
                            review.againstMonth().isEmpty()
                                    ? ""
                                    : String.valueOf(!review.againstHasGaps()));
            lines.add(String.join(",", cells));
        }
        return lines.toString();
    }

    static String formatValue(FigureDefinition definition, OptionalLong value) {
        if (value.isEmpty()) {
            return "-";
        }
        return definition.unit().equals("microseconds")
                ? String.format(Locale.ROOT, "%.3f ms", value.getAsLong() / MICROS_PER_MILLI)
                : String.valueOf(value.getAsLong());
    }

    static String formatChange(Review.Row row) {
        if (row.value().isEmpty() || row.against().isEmpty() || row.against().getAsLong() == 0) {
            return "-";
        }
        double before = row.against().getAsLong();
        return String.format(
                Locale.ROOT, "%+.1f%%", (row.value().getAsLong() - before) / before * 100.0);
    }

    private static String formatLine(Object... cells) {
        return String.format(Locale.ROOT, ROW_FORMAT, cells).stripTrailing();
    }

    private static String rawValue(OptionalLong value) {
        return value.isEmpty() ? "" : String.valueOf(value.getAsLong());
    }

    /** Quotes a name, which may contain any character (RFC 4180). */
    private static String quote(String name) {
        return '"' + name.replace("\"", "\"\"") + '"';
    }
}
