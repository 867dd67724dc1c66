package org.hornbeamward.pgm.entry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against threads that, after a process pause, still act on a permission that has expired
 * before the control duty could revoke it.
 */
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
