package org.hornbeamward.transport.frame;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** The framing of links: four bytes with the length, most significant first, then the message. */
public final class Frames {
    /** Largest message in bytes; a longer frame is refused before it is buffered. */
    public static final int MAX_BYTES = 256 * 1024;

    private static final int PREFIX_BYTES = 4;

    private Frames() {}

    /**
     * Adds the framing to a connection. A frame above the limit fails the pipeline with {@link
     * io.netty.handler.codec.TooLongFrameException} as soon as its length is read.
     *
     * @param pipeline pipeline of the connection
     */
    public static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_BYTES + PREFIX_BYTES, 0, PREFIX_BYTES, 0, PREFIX_BYTES, true))
                .addLast(new LengthFieldPrepender(PREFIX_BYTES));
    }
}
