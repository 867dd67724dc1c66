package org.hornbeamward.state;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.zip.DataFormatException;
import org.HdrHistogram.Histogram;

/** Encodes and decodes histograms in the compressed V2 encoding of HdrHistogram. */
public final class HistogramCodec {
    private HistogramCodec() {}

    /**
     * Encodes a histogram.
     *
     * @param histogram the histogram
     * @return its compressed bytes
     */
    public static byte[] encode(Histogram histogram) {
        ByteBuffer buffer = ByteBuffer.allocate(histogram.getNeededByteBufferCapacity());
        int length = histogram.encodeIntoCompressedByteBuffer(buffer);
        return Arrays.copyOf(buffer.array(), length);
    }

    /**
     * Decodes a histogram.
     *
     * @param bytes its compressed bytes
     * @return the histogram, with automatic resizing enabled
     * @throws DataFormatException if the bytes are not a compressed histogram
     */
    public static Histogram decode(byte[] bytes) throws DataFormatException {
        Histogram histogram =
                Histogram.decodeFromCompressedByteBuffer(ByteBuffer.wrap(bytes), 1_000_000L);
        histogram.setAutoResize(true);
        return histogram;
    }
}
