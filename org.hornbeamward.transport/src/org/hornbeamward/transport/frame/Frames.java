package org.hornbeamward.transport.frame;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/** Length-prefixed framing on links: a four-byte big-endian length, followed by the message. */
public final class Frames {
    /** Maximum message size in bytes; a longer frame is rejected before it is buffered. */
    public static final int MAX_BYTES = 256 * 1024;

    private static final int LENGTH_PREFIX_BYTES = 4;

    private Frames() {}

    /**
     * Adds the framing handlers to a pipeline. A frame above the limit raises {@link
     * io.netty.handler.codec.TooLongFrameException} in the pipeline as soon as its length is read.
     *
     * @param pipeline pipeline of the connection
     */
    public static void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                        new LengthFieldBasedFrameDecoder(
                                MAX_BYTES + LENGTH_PREFIX_BYTES,
                                0,
                                LENGTH_PREFIX_BYTES,
                                0,
                                LENGTH_PREFIX_BYTES,
                                true))
                .addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES));
    }
}
