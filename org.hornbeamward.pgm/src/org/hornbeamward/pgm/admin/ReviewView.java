package org.hornbeamward.pgm.admin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.YearMonth;
import org.HdrHistogram.Histogram;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.state.Figures;

/** JSON view of the review figures of one month. */
final class ReviewView {
    private static final double P50 = 50.0;
    private static final double P99 = 99.0;
    private static final double P999 = 99.9;

    private ReviewView() {}

    static JsonNode of(Figures figures, YearMonth month) {
        ObjectNode node = JsonDocuments.object();
        node.put("month", month.toString());
        node.put("definitionVersion", Figures.DEFINITION_VERSION);
        ArrayNode gaps = node.putArray("gaps");
        figures.gaps(month).forEach(gaps::add);
        if (!figures.months().contains(month)) {
            gaps.add("no figures were recorded in " + month);
        }
        node.put("complete", gaps.isEmpty());
        ObjectNode services = node.putObject("services");
        figures.latencyMicros(month)
                .forEach((name, histogram) -> services.set(name, service(histogram)));
        ObjectNode teams = node.putObject("teams");
        figures.teams(month).forEach((team, counts) -> teams.set(team.value(), team(counts)));
        return node;
    }

    private static JsonNode service(Histogram histogram) {
        return JsonDocuments.object()
                .put("requestCount", histogram.getTotalCount())
                .put("p50Micros", histogram.getValueAtPercentile(P50))
                .put("p99Micros", histogram.getValueAtPercentile(P99))
                .put("p999Micros", histogram.getValueAtPercentile(P999));
    }

    private static JsonNode team(Figures.TeamFigures counts) {
        return JsonDocuments.object()
                .put("startCount", counts.startCount())
                .put("evictionCount", counts.evictionCount())
                .put("finishedTaskCount", counts.finishedTaskCount())
                .put("failedTaskCount", counts.failedTaskCount())
                .put("finishedDuringMoveCount", counts.finishedDuringMoveCount());
    }
}
