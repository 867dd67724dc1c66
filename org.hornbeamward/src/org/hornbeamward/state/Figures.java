package org.hornbeamward.state;

import java.time.Instant;
import java.time.YearMonth;
import java.time.ZoneOffset;
import java.util.Collections;
import java.util.Map;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.hornbeamward.command.ReportFigures;
import org.hornbeamward.errors.CommandRejected;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.TeamId;
import org.jspecify.annotations.Nullable;

/**
 * Figures of the monthly review. Counters are derived from accepted commands, so each event is
 * counted once. An event counts for the month of the log time in UTC. Confined to the thread that
 * applies the log.
 */
public final class Figures {
    /** Version of the documented definitions of all figures. */
    public static final int DEFINITION_VERSION = 1;

    private static final int HISTOGRAM_DIGITS = 3;

    final SortedMap<YearMonth, SortedMap<TeamId, TeamFigures>> mTeams = new TreeMap<>();
    final SortedMap<YearMonth, SortedMap<String, Histogram>> mLatencyMicros = new TreeMap<>();
    final SortedMap<YearMonth, SortedSet<String>> mGaps = new TreeMap<>();
    final SortedMap<InstanceId, SortedMap<Long, Long>> mReportSequences = new TreeMap<>();

    Figures() {}

    /**
     * Counters of one team in one month. Immutable.
     *
     * @param startCount accepted placements
     * @param evictionCount ended placements that were stopped for a reason other than cancellation
     * @param finishedTaskCount batch tasks that finished
     * @param failedTaskCount batch tasks that failed for good
     * @param finishedDuringMoveCount batch tasks that finished while any failure domain was out of
     *     service
     */
    public record TeamFigures(
            long startCount,
            long evictionCount,
            long finishedTaskCount,
            long failedTaskCount,
            long finishedDuringMoveCount) {
        static final TeamFigures NONE = new TeamFigures(0, 0, 0, 0, 0);

        TeamFigures plus(TeamFigures other) {
            return new TeamFigures(
                    startCount + other.startCount,
                    evictionCount + other.evictionCount,
                    finishedTaskCount + other.finishedTaskCount,
                    failedTaskCount + other.failedTaskCount,
                    finishedDuringMoveCount + other.finishedDuringMoveCount);
        }
    }

    /**
     * Returns the counters of a month.
     *
     * @param month the month in UTC
     * @return unmodifiable view by team, empty if nothing was counted
     */
    public SortedMap<TeamId, TeamFigures> teams(YearMonth month) {
        return Collections.unmodifiableSortedMap(
                mTeams.getOrDefault(month, Collections.emptySortedMap()));
    }

    /**
     * Returns the request latencies of a month.
     *
     * @param month the month in UTC
     * @return copies of the histograms in microseconds by service
     */
    public SortedMap<String, Histogram> latencyMicros(YearMonth month) {
        SortedMap<String, Histogram> copies = new TreeMap<>();
        for (Map.Entry<String, Histogram> entry :
                mLatencyMicros.getOrDefault(month, Collections.emptySortedMap()).entrySet()) {
            copies.put(entry.getKey(), entry.getValue().copy());
        }
        return copies;
    }

    /**
     * Returns the gaps in the reports of a month.
     *
     * @param month the month in UTC
     * @return one line for each gap, empty if the month is complete
     */
    public SortedSet<String> gaps(YearMonth month) {
        return Collections.unmodifiableSortedSet(
                mGaps.getOrDefault(month, Collections.emptySortedSet()));
    }

    /**
     * Returns the months for which there are figures.
     *
     * @return the months, oldest first
     */
    public SortedSet<YearMonth> months() {
        SortedSet<YearMonth> months = new TreeSet<>(mTeams.keySet());
        months.addAll(mLatencyMicros.keySet());
        return months;
    }

    void count(long logTimeMillis, TeamId team, TeamFigures figures) {
        mTeams.computeIfAbsent(monthOf(logTimeMillis), month -> new TreeMap<>())
                .merge(team, figures, TeamFigures::plus);
    }

    @Nullable HornbeamwardError report(
            InstanceId author, long incarnation, ReportFigures report, long logTimeMillis) {
        long last =
                mReportSequences
                        .getOrDefault(author, Collections.emptySortedMap())
                        .getOrDefault(incarnation, 0L);
        if (report.sequence() <= last) {
            return new CommandRejected("figures of " + author, "this report was counted already");
        }
        SortedMap<String, Histogram> decoded = new TreeMap<>();
        for (Map.Entry<String, byte[]> entry : report.histograms().entrySet()) {
            try {
                decoded.put(entry.getKey(), HistogramCodec.decode(entry.getValue()));
            } catch (DataFormatException | RuntimeException e) {
                return new CommandRejected(
                        "figures of " + author, "histogram " + entry.getKey() + " is malformed");
            }
        }
        YearMonth month = monthOf(logTimeMillis);
        if (report.sequence() > last + 1) {
            long missing = report.sequence() - last - 1;
            mGaps.computeIfAbsent(month, unused -> new TreeSet<>())
                    .add(author + " lacks " + missing + " reports before " + report.sequence());
        }
        SortedMap<Long, Long> sequences = new TreeMap<>();
        sequences.put(incarnation, report.sequence());
        mReportSequences.put(author, sequences);
        SortedMap<String, Histogram> merged =
                mLatencyMicros.computeIfAbsent(month, unused -> new TreeMap<>());
        for (Map.Entry<String, Histogram> entry : decoded.entrySet()) {
            merged.computeIfAbsent(entry.getKey(), name -> new Histogram(HISTOGRAM_DIGITS))
                    .add(entry.getValue());
        }
        return null;
    }

    static YearMonth monthOf(long wallMillis) {
        return YearMonth.from(Instant.ofEpochMilli(wallMillis).atZone(ZoneOffset.UTC));
    }
}
