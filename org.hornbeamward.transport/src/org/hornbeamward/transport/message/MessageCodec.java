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
 * Encodes and decodes messages. A message is a sequence of MessagePack values: the type number,
 * then the record components in declaration order. A list is encoded as an array. Type numbers
 * never change.
 */
public final class MessageCodec {
    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message
     * @return the encoded message
     */
    public static byte[] encode(Message message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            switch (message) {
                case WorkerMessage worker -> new WorkerMessageWriter(packer).write(worker);
                case PeerMessage peer -> new PeerMessageWriter(packer).write(peer);
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException("an in-memory MessagePack packer failed", e);
        }
    }

    /**
     * Decodes a message.
     *
     * @param bytes all bytes of one frame
     * @param peerAddress address of the sender, for the error
     * @return the message, or an error if the bytes are not exactly one valid message
     */
    public static Either<MalformedRecord, Message> decode(byte[] bytes, String peerAddress) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            Message message = new MessageReader(unpacker, bytes.length).read();
            if (unpacker.hasNext()) {
                return Either.left(
                        new MalformedRecord(
                                peerAddress, "unexpected bytes after the last component"));
            }
            return Either.right(message);
        } catch (IOException | MessagePackException | MalformedMessageException e) {
            String detail = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            return Either.left(new MalformedRecord(peerAddress, detail));
        }
    }
}
