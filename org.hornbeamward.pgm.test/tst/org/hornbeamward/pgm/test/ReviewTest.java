package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.YearMonth;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.hornbeamward.command.ReportFigures;
import org.hornbeamward.pgm.admin.AdminServer;
import org.hornbeamward.pgm.admin.StateViews;
import org.hornbeamward.pgm.cli.ExitCodes;
import org.hornbeamward.pgm.review.Review;
import org.hornbeamward.pgm.review.ReviewPage;
import org.hornbeamward.pgm.review.ReviewTable;
import org.hornbeamward.pgm.settings.HostPort;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.state.HistogramCodec;
import org.junit.jupiter.api.Test;

class ReviewTest {
    private static final String SERVICE_NAME = "loan<\"1\">";

    /** Guards against figures that count a repeated report twice or miss a lost one. */
    @Test
    void repeatedReportCountsOnceAndLostReportIsAGap() {
        FakeBackend backend = new FakeBackend();
        backend.run(report(1)).get();
        assertTrue(backend.run(report(1)).isLeft());
        Review complete = review(backend);
        assertEquals(1000, complete.rows().get(0).value().orElseThrow());
        assertTrue(complete.remarks().isEmpty());
        backend.run(report(3)).get();
        Review gap = review(backend);
        assertEquals(2000, gap.rows().get(0).value().orElseThrow());
        assertEquals(1, gap.remarks().size());
        assertTrue(ReviewTable.text(gap).contains("2026-12*"), ReviewTable.text(gap));
        assertTrue(ReviewTable.csv(gap).contains(",2000,false,"), ReviewTable.csv(gap));
    }

    /** Guards against showing a month without figures as a complete month of zeros. */
    @Test
    void monthWithoutFiguresIsMarked() {
        FakeBackend backend = new FakeBackend();
        Review review =
                new Review(
                        StateViews.review(backend.mState, YearMonth.of(2026, 11)),
                        Optional.empty());
        assertTrue(review.monthHasGaps());
        assertTrue(review.rows().isEmpty());
    }

    /** Guards against comparing figures of different definition versions without a remark. */
    @Test
    void otherDefinitionVersionIsRemarked() {
        var month =
                JsonDocuments.parse(
                                "m",
                                "{\"month\":\"2026-12\",\"definitionVersion\":2,"
                                        + "\"complete\":true,\"teams\":{\"a\":{\"startCount\":3}}}")
                        .get();
        var against =
                JsonDocuments.parse(
                                "a",
                                "{\"month\":\"2026-11\",\"definitionVersion\":1,"
                                        + "\"complete\":true,\"teams\":{\"a\":{\"startCount\":2}}}")
                        .get();
        Review review = new Review(month, Optional.of(against));
        assertTrue(review.remarks().get(0).contains("definition version"));
        assertTrue(ReviewTable.text(review).contains("+50.0%"), ReviewTable.text(review));
    }

    /** Guards against a page that loads other files or does not escape names with markup. */
    @Test
    void pageIsSelfContainedAndEscaped() {
        FakeBackend backend = new FakeBackend();
        backend.run(report(1)).get();
        Review review =
                new Review(
                        StateViews.review(backend.mState, YearMonth.of(2026, 12)),
                        Optional.of(StateViews.review(backend.mState, YearMonth.of(2026, 11))));
        String page = ReviewPage.html(review);
        assertTrue(page.contains("<svg"));
        assertTrue(page.contains("loan&lt;&quot;1&quot;&gt;"));
        assertFalse(page.contains(SERVICE_NAME));
        assertFalse(page.contains("<script"));
        assertFalse(page.contains("<link"));
    }

    /** Guards against a verb that cannot read the response of the admin API. */
    @Test
    void verbShowsOneMonthBesideAnother() throws InterruptedException {
        FakeBackend backend = new FakeBackend();
        backend.run(report(1)).get();
        try (AdminServer server =
                new AdminServer(new HostPort("127.0.0.1", 0), backend, new PrometheusRegistry())) {
            String admin = "--admin=127.0.0.1:" + server.port();
            CliRun run = CliRun.of("review", "--month=2026-12", "--against=2026-11", admin);
            assertEquals(ExitCodes.DONE, run.exitCode(), run.err());
            assertTrue(run.out().contains("p99Micros"), run.out());
            assertTrue(run.out().contains("2026-11 is incomplete"), run.out());
            CliRun wrong = CliRun.of("review", "--month=2026-13", admin);
            assertEquals(ExitCodes.BAD_INPUT, wrong.exitCode());
        }
    }

    private static Review review(FakeBackend backend) {
        return new Review(
                StateViews.review(backend.mState, YearMonth.of(2026, 12)), Optional.empty());
    }

    private static ReportFigures report(long sequence) {
        Histogram histogram = new Histogram(3);
        for (int value = 1; value <= 1000; value++) {
            histogram.recordValue(value);
        }
        SortedMap<String, byte[]> histograms = new TreeMap<>();
        histograms.put(SERVICE_NAME, HistogramCodec.encode(histogram));
        return new ReportFigures(sequence, histograms);
    }
}
