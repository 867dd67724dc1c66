package org.hornbeamward.transport.message;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.hornbeamward.errors.MalformedRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The encoding of messages: MessagePack values in a row, the number of the type first and then the
 * components in the order of their declaration. A list is an array. The numbers of types never
 * change.
 */
public final class MessageCodec {
    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return its bytes
     */
    public static byte[] encode(Message message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case WorkerMessage worker -> new WorkerMessageWriter(packer).write(worker);
                case PeerMessage peer -> new PeerMessageWriter(packer).write(peer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("a packer in memory cannot fail", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes all bytes of one frame
     * @param place address of the sender, for the error
     * @return the message, or an error if the bytes are none
     */
    public static Either<MalformedRecord, Message> decode(byte[] bytes, String place) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            Message message = new MessageReader(unpacker, bytes.length).read();
            if (unpacker.hasNext()) {
                return Either.left(new MalformedRecord(place, "bytes follow the last component"));
            }
            return Either.right(message);
        } catch (IOException | MessagePackException | MalformedMessageException e) {
            String detail = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            return Either.left(new MalformedRecord(place, detail));
        }
    }
}
