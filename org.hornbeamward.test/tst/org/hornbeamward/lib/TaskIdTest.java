package org.hornbeamward.lib;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Guards against task ids that do not survive formatting and parsing. */
class TaskIdTest {

    @Property(seed = "11")
    void textFormParsesToTheSameId(
            @ForAll @AlphaChars @StringLength(min = 1, max = 64) String job,
            @ForAll @IntRange(min = 0, max = 999_999) int index) {
        TaskId id = new TaskId(new JobId(job), index);
        assertEquals(id, TaskId.parse(id.toString()).get());
    }

    @Test
    void theErrorQuotesMalformedText() {
        assertTrue(TaskId.parse("no-index").getLeft().message().contains("no-index"));
        assertTrue(TaskId.parse("bad name/1").isLeft());
        assertTrue(TaskId.parse("job/-1").isLeft());
    }
}
