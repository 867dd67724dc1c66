package org.hornbeamward.command;

import java.util.SortedMap;

/**
 * Adds latency histograms measured by the author to the review figures.
 *
 * @param sequence sequence number, consecutive from 1 per incarnation; a gap marks the month as
 *     incomplete
 * @param histograms compressed HdrHistograms of microseconds, by service name
 */
public record ReportFigures(long sequence, SortedMap<String, byte[]> histograms)
        implements Command {}
