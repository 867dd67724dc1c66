package org.hornbeamward.pgm.test;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.pgm.questionnaire.Questionnaire;
import org.hornbeamward.pgm.settings.JsonDocuments;
import org.hornbeamward.pgm.settings.SettingsLoader;

/** Guards against parsers that throw an exception instead of reporting a problem. */
class MalformedInputTest {
    private static final String ANSWERS = readAnswers();

    @Property(seed = "20261204", tries = 500)
    void anySettingsTextIsRefusedWithAProblem(@ForAll String text) {
        assertTrue(SettingsLoader.parse("s", text).isLeft());
        assertTrue(SettingsLoader.parse("s", "{\"instance\":" + text + "}").isLeft());
    }

    @Property(seed = "20261204", tries = 500)
    void damagedAnswersAreReportedOrAccepted(
            @ForAll @IntRange(max = 2000) int position, @ForAll char replacement) {
        int index = position % ANSWERS.length();
        String corrupted = ANSWERS.substring(0, index) + replacement + ANSWERS.substring(index + 1);
        Either<HornbeamwardError, ObjectNode> document = JsonDocuments.parse("a", corrupted);
        if (document.isRight()) {
            Questionnaire.generate(document.get());
            Questionnaire.review(document.get());
        }
        String truncated = ANSWERS.substring(0, ANSWERS.lastIndexOf('}') - index % 500);
        assertTrue(JsonDocuments.parse("a", truncated).isLeft());
    }

    private static String readAnswers() {
        try {
            return Files.readString(Path.of("../deployments/tiny.json"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
