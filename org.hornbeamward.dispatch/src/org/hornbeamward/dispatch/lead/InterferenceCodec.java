package org.hornbeamward.dispatch.lead;

import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.codec.Reader;
import org.hornbeamward.codec.Writer;
import org.hornbeamward.dispatch.decide.InterferenceModel.Coefficient;

/** Encodes and decodes the learned interference between images that share workers. */
final class InterferenceCodec {
    private static final int FORMAT = 1;

    /**
     * Largest size of a record in bytes. It is written every 2 s, and the slowest instance links
     * take 0.9 MB a second.
     */
    static final int MAX_BYTES = 64 * 1024;

    /** Largest size of the headers around the coefficients in bytes. */
    private static final int HEADER_BYTES = 8;

    private InterferenceCodec() {}

    /**
     * Encodes the coefficients that fit into {@link #MAX_BYTES}. The others are left out, since the
     * record only saves a later leader the time to learn them, and must not stop a commit.
     *
     * @param learned the coefficients, the most useful ones first
     * @return the record's value
     */
    static byte[] encode(List<Coefficient> learned) {
        List<Coefficient> kept = new ArrayList<>();
        int byteCount = HEADER_BYTES;
        for (Coefficient coefficient : learned) {
            int addedBytes = write(new Writer(), coefficient).toBytes().length;
            if (byteCount + addedBytes <= MAX_BYTES) {
                byteCount += addedBytes;
                kept.add(coefficient);
            }
        }
        Writer writer = new Writer();
        writer.array(2).integer(FORMAT);
        writer.list(kept, coefficient -> write(writer, coefficient));
        return writer.toBytes();
    }

    private static Writer write(Writer writer, Coefficient coefficient) {
        return writer.array(4)
                .text(coefficient.serving())
                .text(coefficient.filler())
                .number(coefficient.perCore())
                .number(coefficient.weight());
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
