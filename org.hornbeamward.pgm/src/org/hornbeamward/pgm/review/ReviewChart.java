package org.hornbeamward.pgm.review;

import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.VectorGraphicsEncoder.VectorGraphicsFormat;

/** Renders a figure as an SVG bar chart with a bar for each service or team and month. */
final class ReviewChart {
    private static final int WIDTH_PIXELS = 720;
    private static final int HEIGHT_PIXELS = 320;

    private ReviewChart() {}

    /**
     * Returns an svg element, without the XML declaration, to embed in a page. Empty if the machine
     * has no fonts: a headless JDK needs them to measure the labels.
     */
    static Optional<String> svg(Review review, FigureDefinition definition, List<Review.Row> rows) {
        System.setProperty("java.awt.headless", "true");
        try {
            return Optional.of(render(review, definition, rows));
        } catch (LinkageError | InternalError e) {
            return Optional.empty();
        }
    }

    private static String render(
            Review review, FigureDefinition definition, List<Review.Row> rows) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(definition.key())
                        .yAxisTitle(definition.unit())
                        .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        List<String> names = rows.stream().map(Review.Row::subject).toList();
        review.againstMonth()
                .ifPresent(
                        month -> addSeries(chart, month, names, values(rows, Review.Row::against)));
        addSeries(chart, review.month(), names, values(rows, Review.Row::value));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            VectorGraphicsEncoder.saveVectorGraphic(chart, out, VectorGraphicsFormat.SVG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String document = out.toString(StandardCharsets.UTF_8);
        return document.substring(document.indexOf("<svg"));
    }

    /** Adds a series, unless it has no value: the axis would then have no bounds. */
    private static void addSeries(
            CategoryChart chart, String month, List<String> names, List<Long> values) {
        if (values.stream().anyMatch(Objects::nonNull)) {
            chart.addSeries(month, names, values);
        }
    }

    /** Returns the values, with null for a missing one, for which the chart draws no bar. */
    private static List<Long> values(
            List<Review.Row> rows, Function<Review.Row, OptionalLong> value) {
        List<Long> values = new ArrayList<>();
        for (Review.Row row : rows) {
            OptionalLong figure = value.apply(row);
            values.add(figure.isPresent() ? (Long) figure.getAsLong() : null);
        }
        return values;
    }
}
