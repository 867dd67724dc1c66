package org.hornbeamward.command;

import java.util.SortedMap;

/**
 * Adds latency histograms of the author to the review figures.
 *
 * @param sequence 1, 2, 3 and so on per incarnation; a gap marks the month
 * @param histograms service name to a compressed HdrHistogram of microseconds
 */
public record ReportFigures(long sequence, SortedMap<String, byte[]> histograms)
        implements Command {}
