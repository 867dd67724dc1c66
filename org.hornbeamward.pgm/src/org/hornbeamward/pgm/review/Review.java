package org.hornbeamward.pgm.review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.TreeSet;
import org.hornbeamward.pgm.settings.JsonDocuments;

/** The figures of one month, optionally compared with another month. Immutable. */
public final class Review {
    private final JsonNode mMonth;
    private final Optional<JsonNode> mAgainst;

    /**
     * One figure of one service or team.
     *
     * @param definition the figure
     * @param subject name of the service or team
     * @param value value of the month; empty if there is none
     * @param against value of the month to compare with; empty if there is none
     */
    public record Row(
            FigureDefinition definition,
            String subject,
            OptionalLong value,
            OptionalLong against) {}

    /**
     * Creates a review.
     *
     * @param month response to {@code GET /v1/review}
     * @param against response for the month to compare with, or empty
     */
    public Review(JsonNode month, Optional<JsonNode> against) {
        mMonth = month;
        mAgainst = against;
    }

    /**
     * Returns the month.
     *
     * @return its name such as 2026-12
     */
    public String month() {
        return mMonth.path("month").asText();
    }

    /**
     * Returns the month to compare with.
     *
     * @return its name, or empty
     */
    public Optional<String> againstMonth() {
        return mAgainst.map(node -> node.path("month").asText());
    }

    /**
     * Returns all figures.
     *
     * @return services first, then teams, each sorted by name
     */
    public List<Row> rows() {
        List<Row> rows = new ArrayList<>();
        for (FigureDefinition.Scope scope : FigureDefinition.Scope.values()) {
            for (String subject : subjects(scope)) {
                for (FigureDefinition definition : FigureDefinition.values()) {
                    if (definition.scope() == scope) {
                        rows.add(row(definition, subject));
                    }
                }
            }
        }
        return rows;
    }

    /**
     * Returns remarks on figures that are incomplete or not comparable.
     *
     * @return one line for each gap, with its month, and one for differing definition versions
     */
    public List<String> remarks() {
        List<String> remarks = new ArrayList<>();
        addGaps(mMonth, remarks);
        mAgainst.ifPresent(node -> addGaps(node, remarks));
        if (mAgainst.isPresent() && version(mMonth) != version(mAgainst.get())) {
            remarks.add(
                    month()
                            + " has definition version "
                            + version(mMonth)
                            + " and "
                            + againstMonth().orElse("")
                            + " has "
                            + version(mAgainst.get())
                            + "; compare only figures whose definition did not change");
        }
        return remarks;
    }

    /**
     * Returns the version of the figure definitions.
     *
     * @return version that the month's figures were computed with
     */
    public long definitionVersion() {
        return version(mMonth);
    }

    /**
     * Returns whether reports are missing for the month.
     *
     * @return true if the month has a gap
     */
    public boolean monthHasGaps() {
        return !mMonth.path("complete").asBoolean();
    }

    /**
     * Returns whether reports are missing for the month to compare with.
     *
     * @return true if there is such a month and it has a gap
     */
    public boolean againstHasGaps() {
        return mAgainst.filter(node -> !node.path("complete").asBoolean()).isPresent();
    }

    /**
     * Returns the review as JSON.
     *
     * @return an object with the fields month, against (if there is such a month) and remarks
     */
    public ObjectNode json() {
        ObjectNode node = JsonDocuments.object();
        node.set("month", mMonth);
        mAgainst.ifPresent(against -> node.set("against", against));
        ArrayNode remarks = node.putArray("remarks");
        remarks().forEach(remarks::add);
        return node;
    }

    private SortedSet<String> subjects(FigureDefinition.Scope scope) {
        SortedSet<String> subjects = new TreeSet<>();
        mMonth.path(scope.jsonKey()).fieldNames().forEachRemaining(subjects::add);
        mAgainst.ifPresent(
                node -> node.path(scope.jsonKey()).fieldNames().forEachRemaining(subjects::add));
        return subjects;
    }

    private Row row(FigureDefinition definition, String subject) {
        return new Row(
                definition,
                subject,
                value(mMonth, definition, subject),
                mAgainst.map(node -> value(node, definition, subject))
                        .orElse(OptionalLong.empty()));
    }

    private static OptionalLong value(JsonNode node, FigureDefinition definition, String subject) {
        JsonNode value =
                node.path(definition.scope().jsonKey()).path(subject).path(definition.key());
        return value.isIntegralNumber() ? OptionalLong.of(value.longValue()) : OptionalLong.empty();
    }

    private static long version(JsonNode node) {
        return node.path("definitionVersion").asLong();
    }

    private static void addGaps(JsonNode node, List<String> remarks) {
        for (JsonNode gap : node.path("gaps")) {
            remarks.add(node.path("month").asText() + " is incomplete: " + gap.asText());
        }
    }
}
