package org.hornbeamward.state;

import java.time.DateTimeException;
import java.time.YearMonth;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.lib.TeamId;

/** Encodes and decodes the review figures. */
final class FiguresSnapshot {
    private FiguresSnapshot() {}

    static void write(Writer out, Figures figures) {
        out.array(4);
        out.map(figures.mTeams, month -> writeTeams(out, month));
        out.map(figures.mLatencyMicros, month -> writeHistograms(out, month));
        out.map(figures.mGaps, month -> out.text(month.getKey()).list(month.getValue(), out::text));
        out.map(
                figures.mReportSequences,
                instance ->
                        out.text(instance.getKey())
                                .map(
                                        instance.getValue(),
                                        last ->
                                                out.integer(last.getKey())
                                                        .integer(last.getValue())));
    }

    private static void writeTeams(
            Writer out, Map.Entry<YearMonth, SortedMap<TeamId, Figures.TeamFigures>> month) {
        out.text(month.getKey());
        out.map(
                month.getValue(),
                team ->
                        out.text(team.getKey())
                                .array(5)
                                .integer(team.getValue().startCount())
                                .integer(team.getValue().evictionCount())
                                .integer(team.getValue().finishedTaskCount())
                                .integer(team.getValue().failedTaskCount())
                                .integer(team.getValue().finishedDuringMoveCount()));
    }

    private static void writeHistograms(
            Writer out, Map.Entry<YearMonth, SortedMap<String, Histogram>> month) {
        out.text(month.getKey());
        out.map(
                month.getValue(),
                service ->
                        out.text(service.getKey())
                                .bytes(HistogramCodec.encode(service.getValue())));
    }

    static void read(Reader in, Figures figures) {
        in.array(4);
        for (int months = in.array() / 2; months > 0; months--) {
            figures.mTeams.put(month(in), readTeams(in));
        }
        for (int months = in.array() / 2; months > 0; months--) {
            figures.mLatencyMicros.put(month(in), readHistograms(in));
        }
        for (int months = in.array() / 2; months > 0; months--) {
            YearMonth month = month(in);
            TreeSet<String> gaps = new TreeSet<>();
            for (int left = in.array(); left > 0; left--) {
                gaps.add(in.text());
            }
            figures.mGaps.put(month, gaps);
        }
        for (int instances = in.array() / 2; instances > 0; instances--) {
            InstanceId instance = in.instance();
            TreeMap<Long, Long> last = new TreeMap<>();
            for (int left = in.array() / 2; left > 0; left--) {
                last.put(in.integer(), in.integer());
            }
            figures.mReportSequences.put(instance, last);
        }
    }

    private static SortedMap<TeamId, Figures.TeamFigures> readTeams(Reader in) {
        SortedMap<TeamId, Figures.TeamFigures> teams = new TreeMap<>();
        for (int left = in.array() / 2; left > 0; left--) {
            TeamId team = in.team();
            in.array(5);
            teams.put(
                    team,
                    new Figures.TeamFigures(
                            in.integer(), in.integer(), in.integer(), in.integer(), in.integer()));
        }
        return teams;
    }

    private static SortedMap<String, Histogram> readHistograms(Reader in) {
        SortedMap<String, Histogram> histograms = new TreeMap<>();
        for (int left = in.array() / 2; left > 0; left--) {
            String service = in.text();
            try {
                histograms.put(service, HistogramCodec.decode(in.bytes()));
            } catch (DataFormatException | RuntimeException e) {
                throw in.malformed("histogram of service " + service + " cannot be decoded");
            }
        }
        return histograms;
    }

    private static YearMonth month(Reader in) {
        String text = in.text();
        try {
            return YearMonth.parse(text);
        } catch (DateTimeException e) {
            throw in.malformed("month " + text + " is invalid");
        }
    }
}
