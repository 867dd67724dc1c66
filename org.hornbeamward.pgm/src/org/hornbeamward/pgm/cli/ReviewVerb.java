package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.time.YearMonth;
import java.util.Optional;
import org.hornbeamward.pgm.review.Review;
import org.hornbeamward.pgm.review.ReviewPage;
import org.hornbeamward.pgm.review.ReviewTable;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shows the figures of a month, optionally compared with another month. */
@Command(name = "review", description = "Shows the figures of a month, also beside another.")
final class ReviewVerb extends Verb {
    /** Output formats. */
    enum Format {
        TABLE,
        CSV,
        JSON,
        HTML
    }

    @Option(names = "--month", required = true, paramLabel = "YYYY-MM", description = "the month")
    private @Nullable YearMonth mMonth;

    @Option(names = "--against", paramLabel = "YYYY-MM", description = "month to compare with")
    private @Nullable YearMonth mAgainst;

    @Option(
            names = "--format",
            paramLabel = "FORMAT",
            defaultValue = "table",
            description = "one of table, csv, json, html (default ${DEFAULT-VALUE})")
    private Format mFormat = Format.TABLE;

    @Override
    Either<CliFailure, Result> run() {
        return withClient(this::read).map(review -> Result.of(review.json(), text(review)));
    }

    private Either<CliFailure, Review> read(AdminClient client) {
        Either<CliFailure, JsonNode> month = client.get(path(mMonth));
        if (mAgainst == null) {
            return month.map(node -> new Review(node, Optional.empty()));
        }
        return month.flatMap(
                node ->
                        client.get(path(mAgainst))
                                .map(against -> new Review(node, Optional.of(against))));
    }

    private String text(Review review) {
        return switch (mFormat) {
            case TABLE -> ReviewTable.text(review);
            case CSV -> ReviewTable.csv(review);
            case JSON -> JsonDocuments.pretty(review.json());
            case HTML -> ReviewPage.html(review);
        };
    }

    private static String path(@Nullable YearMonth month) {
        return "/v1/review?month=" + month;
    }
}
