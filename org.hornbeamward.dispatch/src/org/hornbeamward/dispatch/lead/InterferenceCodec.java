package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.decide.InterferenceModel.Coefficient;

/** Encodes and decodes the learned interference between images that share workers. */
final class InterferenceCodec {
    private static final int FORMAT = 1;

    private InterferenceCodec() {}

    static byte[] encode(List<Coefficient> learned) {
        Writer writer = new Writer();
        writer.array(2).integer(FORMAT);
        writer.list(
                learned,
                coefficient ->
                        writer.array(4)
                                .text(coefficient.serving())
                                .text(coefficient.filler())
                                .number(coefficient.perCore())
                                .number(coefficient.weight()));
        return writer.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes the record's value
     * @return the learned coefficients
     * @throws Reader.MalformedInputException if the bytes are not a record of learned interference
     */
    static List<Coefficient> decode(byte[] bytes) {
        Reader reader = new Reader(bytes);
        reader.array(2);
        int format = reader.int32();
        if (format != FORMAT) {
            throw reader.malformed("format " + format + " of learned interference is not known");
        }
        int count = reader.array();
        List<Coefficient> learned = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            reader.array(4);
            learned.add(
                    new Coefficient(
                            reader.text(), reader.text(), reader.number(), reader.number()));
        }
        return learned;
    }
}
