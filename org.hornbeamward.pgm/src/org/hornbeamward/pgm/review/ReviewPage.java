package org.hornbeamward.pgm.review;

import java.util.ArrayList;
import java.util.List;

/** Renders a review as a self-contained HTML page. */
public final class ReviewPage {
    private static final String STYLE =
            "body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}"
                    + "td,th{border:1px solid #999;padding:.3em .6em;text-align:left}"
                    + "td.n{text-align:right}.gap{background:#fff3cd;padding:.5em}";

    /** Figures that are shown as a chart. */
    private static final List<FigureDefinition> CHARTED =
            List.of(
                    FigureDefinition.P99,
                    FigureDefinition.FINISHED,
                    FigureDefinition.EVICTIONS,
                    FigureDefinition.FINISHED_DURING_MOVE);

    private ReviewPage() {}

    /**
     * Returns the page.
     *
     * @param review the review
     * @return HTML with embedded style and charts
     */
    public static String html(Review review) {
        StringBuilder page = new StringBuilder();
        String title =
                "Review of "
                        + review.month()
                        + review.againstMonth().map(name -> " against " + name).orElse("");
        page.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n<h1>")
                .append(escape(title))
                .append("</h1>\n");
        for (String remark : review.remarks()) {
            page.append("<p class=\"gap\">").append(escape(remark)).append("</p>\n");
        }
        appendCharts(page, review);
        appendTable(page, review);
        appendDefinitions(page, review);
        return page.append("</body></html>").toString();
    }

    private static void appendCharts(StringBuilder page, Review review) {
        for (FigureDefinition definition : CHARTED) {
            List<Review.Row> rows =
                    review.rows().stream()
                            .filter(row -> row.definition() == definition && hasValue(row))
                            .toList();
            if (!rows.isEmpty()) {
                String chart =
                        ReviewChart.svg(review, definition, rows)
                                .orElse("<p class=\"gap\">no chart: this machine has no fonts</p>");
                page.append(chart).append('\n');
            }
        }
    }

    private static boolean hasValue(Review.Row row) {
        return row.value().isPresent() || row.against().isPresent();
    }

    private static void appendTable(StringBuilder page, Review review) {
        page.append("<table><tr><th>about</th><th>name</th><th>figure</th><th>")
                .append(escape(review.month()))
                .append(review.monthHasGaps() ? "*" : "")
                .append("</th>");
        review.againstMonth()
                .ifPresent(
                        name ->
                                page.append("<th>")
                                        .append(escape(name))
                                        .append(review.againstHasGaps() ? "*" : "")
                                        .append("</th><th>change</th>"));
        page.append("</tr>\n");
        for (Review.Row row : review.rows()) {
            List<String> cells = new ArrayList<>();
            cells.add(ReviewTable.formatValue(row.definition(), row.value()));
            if (review.againstMonth().isPresent()) {
                cells.add(ReviewTable.formatValue(row.definition(), row.against()));
                cells.add(ReviewTable.formatChange(row));
            }
            page.append("<tr><td>")
                    .append(row.definition().scope().jsonKey())
                    .append("</td><td>")
                    .append(escape(row.subject()))
                    .append("</td><td>")
                    .append(row.definition().key())
                    .append("</td>");
            cells.forEach(cell -> page.append("<td class=\"n\">").append(cell).append("</td>"));
            page.append("</tr>\n");
        }
        page.append("</table>\n");
    }

    private static void appendDefinitions(StringBuilder page, Review review) {
        page.append("<h2>Definitions, version ")
                .append(review.definitionVersion())
                .append("</h2>\n<dl>\n");
        for (FigureDefinition definition : FigureDefinition.values()) {
            page.append("<dt>")
                    .append(definition.key())
                    .append(" (")
                    .append(definition.unit())
                    .append(")</dt><dd>")
                    .append(escape(definition.text()))
                    .append("</dd>\n");
        }
        page.append("</dl>\n");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
