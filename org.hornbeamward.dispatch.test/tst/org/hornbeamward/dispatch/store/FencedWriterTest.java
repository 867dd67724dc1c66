package org.hornbeamward.dispatch.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.dispatch.fake.FakeStore;
import org.hornbeamward.dispatch.fake.VirtualLoop;
import org.hornbeamward.dispatch.port.KeyedRecord;
import org.hornbeamward.dispatch.port.Topic;
import org.junit.jupiter.api.Test;

/** Appends of a leader whose answers are lost. */
class FencedWriterTest {
    private final VirtualLoop mLoop = new VirtualLoop();
    private final FakeStore mStore = new FakeStore(mLoop);

    /** Guards against a confirmation that is newer than the record that shows it. */
    @Test
    void aRepeatedAppendConfirmsNothingLaterThanItsFirstAttempt() {
        FencedWriter writer =
                new FencedWriter(mLoop, mStore, Topic.PROGRESS, "leader", 1, reason -> {});
        mStore.loseAnswerCount = 1;
        long sentMillis = mLoop.nowMillis();
        writer.append(List.of(new KeyedRecord("alive", new byte[] {1})), () -> {});
        while (writer.isBusy()) {
            mLoop.advance(10);
        }
        assertEquals(1, mStore.records(Topic.PROGRESS).size());
        assertTrue(writer.unconfirmedMillis() >= mLoop.nowMillis() - sentMillis);
    }
}
