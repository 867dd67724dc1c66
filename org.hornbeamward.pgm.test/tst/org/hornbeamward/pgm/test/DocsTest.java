package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.hornbeamward.event.LogEvent;
import org.hornbeamward.pgm.review.FigureDefinition;
import org.hornbeamward.pgm.settings.EntrySettings;
import org.hornbeamward.pgm.settings.SettingsLoader;
import org.hornbeamward.state.Figures;
import org.junit.jupiter.api.Test;

/** Checks that the reference pages match the code. */
class DocsTest {
    /** Guards against a setting that is not documented, or documented but no longer read. */
    @Test
    void settingsPageListsExactlyTheKeys() throws IOException {
        List<String> keys = rows("settings.md").stream().map(row -> row[0]).toList();
        assertEquals(SettingsLoader.KEYS, keys.subList(1, keys.size()));
        assertEquals(
                SettingsLoader.KEYS,
                Arrays.stream(EntrySettings.class.getRecordComponents())
                        .map(RecordComponent::getName)
                        .toList());
    }

    /** Guards against an example that the loader rejects, and against wrong defaults. */
    @Test
    void settingsExampleAndDefaultsAreTrue() throws IOException {
        String page = page("settings.md");
        int start = page.indexOf("```json") + "```json".length();
        String example = page.substring(start, page.indexOf("```", start));
        EntrySettings settings = SettingsLoader.parse("example", example).get();
        for (String[] row : rows("settings.md")) {
            String value =
                    switch (row[0]) {
                        case "logLevel" -> settings.logLevel().name().toLowerCase(Locale.ROOT);
                        case "shutdownWaitMillis" -> "" + settings.shutdownWaitMillis();
                        case "frontThreadCount" -> "" + settings.frontThreadCount();
                        default -> row[2];
                    };
            assertEquals(value, row[2], row[0]);
        }
    }

    /**
     * Guards against an event without instructions, and against a changed number, level, name or
     * template.
     */
    @Test
    void everyLogEventHasItsRow() throws IOException {
        List<String[]> rows = rows("log-events.md");
        assertEquals(LogEvent.values().length, rows.size() - 1);
        for (int index = 0; index < LogEvent.values().length; index++) {
            LogEvent event = LogEvent.values()[index];
            String[] row = rows.get(index + 1);
            String[] expected = {
                "HW" + event.number(),
                event.level().name().toLowerCase(Locale.ROOT),
                event.name(),
                event.template()
            };
            assertEquals(List.of(expected), Arrays.asList(row).subList(0, 4));
            assertTrue(!row[4].isBlank(), event.name());
        }
    }

    /** Guards against figures whose documented definition differs from the code. */
    @Test
    void figureDefinitionsAreThoseOfTheCode() throws IOException {
        assertTrue(
                page("review.md")
                        .contains("Definitions version " + Figures.DEFINITION_VERSION + "."));
        List<String[]> rows = rows("review.md");
        assertEquals(FigureDefinition.values().length, rows.size() - 1);
        for (int index = 0; index < FigureDefinition.values().length; index++) {
            FigureDefinition definition = FigureDefinition.values()[index];
            String[] expected = {
                definition.key(),
                definition.scope().name().toLowerCase(Locale.ROOT),
                definition.unit(),
                definition.text()
            };
            assertEquals(List.of(expected), Arrays.asList(rows.get(index + 1)));
        }
    }

    /** Returns the rows of the first table of a page as cells, the header row first. */
    private static List<String[]> rows(String name) throws IOException {
        return page(name)
                .lines()
                .dropWhile(line -> !line.startsWith("|"))
                .takeWhile(line -> line.startsWith("|"))
                .filter(line -> !line.startsWith("|---"))
                .map(DocsTest::cells)
                .toList();
    }

    private static String[] cells(String line) {
        String inner = line.substring(1, line.lastIndexOf('|'));
        return Arrays.stream(inner.split("\\|", -1))
                .map(cell -> cell.strip().replace("`", ""))
                .toArray(String[]::new);
    }

    private static String page(String name) throws IOException {
        return Files.readString(Path.of("../docs/" + name));
    }
}
