package org.hornbeamward.pgm.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

/** A text table with aligned columns. */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";
    private final List<List<String>> mRows = new ArrayList<>();

    TextTable(String... headers) {
        mRows.add(Arrays.asList(headers));
    }

    /** Formats an array of objects; each header is also the path of the column's value. */
    static String of(JsonNode list, String... paths) {
        TextTable table = new TextTable(paths);
        for (JsonNode item : list) {
            table.add(
                    Arrays.stream(paths)
                            .map(path -> cell(item.at("/" + path.replace('.', '/'))))
                            .toArray(String[]::new));
        }
        return table.render();
    }

    void add(String... cells) {
        mRows.add(Arrays.asList(cells));
    }

    /** Returns the lines of the table, or "none" if it has no rows. */
    String render() {
        if (mRows.size() == 1) {
            return "none";
        }
        int columnCount = mRows.get(0).size();
        int[] widths = new int[columnCount];
        for (List<String> row : mRows) {
            for (int column = 0; column < columnCount; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return mRows.stream().map(row -> line(row, widths)).collect(Collectors.joining("\n"));
    }

    private static String line(List<String> row, int[] widths) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            line.append(row.get(column));
            line.append(" ".repeat(widths[column] - row.get(column).length()))
                    .append(COLUMN_SEPARATOR);
        }
        return line.toString().stripTrailing();
    }

    private static String cell(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isBoolean()) {
            return value.booleanValue() ? "yes" : "no";
        }
        if (value.isArray()) {
            List<String> items = new ArrayList<>();
            value.forEach(item -> items.add(item.asText()));
            return items.isEmpty() ? "-" : String.join(",", items);
        }
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
