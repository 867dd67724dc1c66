package org.hornbeamward.dispatch.lead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.dispatch.decide.InterferenceModel;
import org.hornbeamward.dispatch.decide.InterferenceModel.Coefficient;
import org.junit.jupiter.api.Test;

/** Encoding of the interference that a leader has learned for images that share workers. */
class InterferenceCodecTest {
    private static final List<Coefficient> LEARNED =
            List.of(
                    new Coefficient("desk", "heavy", 0.72, 500),
                    new Coefficient("desk", "light", 0.03, 400),
                    new Coefficient("watch", "heavy", 0.02, 100));

    /** Guards against values that change when they are written to the store and read back. */
    @Test
    void decodedCoefficientsEqualTheEncodedOnes() {
        assertEquals(LEARNED, InterferenceCodec.decode(InterferenceCodec.encode(LEARNED)));
    }

    /** Guards against a leader that fails on a record that it cannot decode. */
    @Test
    void otherBytesAreMalformed() {
        byte[] bytes = {1, 2, 3};
        assertThrows(Reader.MalformedInputException.class, () -> InterferenceCodec.decode(bytes));
    }

    /** Guards against a new leader that uses the prior for images with learned coefficients. */
    @Test
    void aRestoredModelKeepsTheLearnedCoefficients() {
        InterferenceModel model = new InterferenceModel();
        model.restore(InterferenceCodec.decode(InterferenceCodec.encode(LEARNED)));
        assertTrue(model.perCore("desk", "heavy") > 0.6);
        assertTrue(model.perCore("desk", "light") < 0.05);
        assertTrue(model.perCore("watch", "heavy") < 0.05);
    }

    /** Guards against a record that outgrows the store with the number of images. */
    @Test
    void theMostUsefulCoefficientsOfManyImagesAreKeptWithinTheBound() {
        List<Coefficient> learned = new ArrayList<>();
        for (int number = 0; number < 2_000; number++) {
            learned.add(new Coefficient("serving" + number, "f".repeat(200), 0.5, 10));
        }
        byte[] bytes = InterferenceCodec.encode(learned);
        List<Coefficient> kept = InterferenceCodec.decode(bytes);

        assertTrue(bytes.length <= InterferenceCodec.MAX_BYTES);
        assertTrue(bytes.length > InterferenceCodec.MAX_BYTES - 1_000);
        assertEquals(learned.subList(0, kept.size()), kept);
    }

    /** Guards against one long name that makes the whole record unreadable, or empty. */
    @Test
    void anImageWithANameThatDoesNotFitIsLeftOut() {
        List<Coefficient> learned = new ArrayList<>(LEARNED);
        learned.add(0, new Coefficient("x".repeat(Reader.MAX_TEXT_BYTES + 1), "heavy", 0.9, 500));

        assertEquals(LEARNED, InterferenceCodec.decode(InterferenceCodec.encode(learned)));
    }
}
