package org.hornbeamward.pgm.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against a paused process whose other threads go on with what was allowed before. */
class ActivityWindowTest {
    private long mNowNanos;

    @Test
    void theWindowClosesByItselfWithoutTheControlDuty() {
        ActivityWindow window = new ActivityWindow(() -> mNowNanos);
        assertFalse(window.isOpen());
        window.set(OptionalLong.of(100));
        assertTrue(window.isOpen());
        mNowNanos = 100;
        assertFalse(window.isOpen());
        window.set(OptionalLong.empty());
        assertFalse(window.isOpen());
    }
}
