package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.decide.PressureModel;
import org.hornbeamward.dispatch.decide.PressureModel.Learned;
import org.junit.jupiter.api.Test;

/** Encoding of the pressures that a leader has learned for images that share workers. */
class PressureCodecTest {
    private static final List<Learned> LEARNED =
            List.of(
                    new Learned("desk", "heavy", 0.72, 500),
                    new Learned("desk", "light", 0.03, 400),
                    new Learned("watch", "heavy", 0.02, 100));

    /** Guards against values that change when they are written to the store and read back. */
    @Test
    void decodedPressuresEqualTheEncodedOnes() {
        assertEquals(LEARNED, PressureCodec.decode(PressureCodec.encode(LEARNED)));
    }

    /** Guards against a leader that fails on a record that it cannot decode. */
    @Test
    void otherBytesAreMalformed() {
        byte[] bytes = {1, 2, 3};
        assertThrows(Reader.MalformedInputException.class, () -> PressureCodec.decode(bytes));
    }

    /** Guards against a new leader that uses the prior for images with learned pressures. */
    @Test
    void aRestoredModelKeepsTheLearnedPressures() {
        PressureModel model = new PressureModel();
        model.restore(PressureCodec.decode(PressureCodec.encode(LEARNED)));
        assertTrue(model.perCore("desk", "heavy") > 0.6);
        assertTrue(model.perCore("desk", "light") < 0.05);
        assertTrue(model.perCore("watch", "heavy") < 0.05);
    }
}
