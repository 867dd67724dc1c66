package org.hornbeamward.storage.log;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * The body of a read answer: {@code [earliest offset, end offset, [[offset, bytes]...]]} in
 * MessagePack.
 */
public final class ReadAnswerCodec {
    // Shortest encoding of one record: array header, offset, binary header of two bytes.
    private static final int MIN_RECORD_BYTES = 4;

    private ReadAnswerCodec() {}

    /**
     * Encodes an answer.
     *
     * @param read the answer
     * @return its bytes
     */
    public static byte[] encode(LogRead read) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(3);
            packer.packLong(read.earliestOffset());
            packer.packLong(read.endOffset());
            packer.packArrayHeader(read.records().size());
            for (LogRecord record : read.records()) {
                packer.packArrayHeader(2);
                packer.packLong(record.offset());
                packer.packBinaryHeader(record.bytes().length);
                packer.writePayload(record.bytes());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /**
     * Decodes an answer. Offsets must ascend from the offset asked for and stay below the end.
     *
     * @param body the bytes
     * @param fromOffset the offset asked for
     * @return the answer, or what is wrong with it
     */
    public static Either<String, LogRead> decode(byte[] body, long fromOffset) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            if (unpacker.unpackArrayHeader() != 3) {
                return Either.left("expected an array of 3");
            }
            long earliest = unpacker.unpackLong();
            long end = unpacker.unpackLong();
            if (earliest < 0 || end < earliest) {
                return Either.left("earliest " + earliest + " and end " + end + " are no bounds");
            }
            if (end < fromOffset) {
                return Either.left("end " + end + " is before the offset asked for");
            }
            return records(unpacker, body.length, fromOffset, end)
                    .map(records -> new LogRead(earliest, end, records))
                    .filterOrElse(
                            read -> !read.records().isEmpty() || end <= fromOffset,
                            read -> "no record although the end is " + end);
        } catch (IOException | MessagePackException e) {
            return Either.left("not valid MessagePack: " + e.getClass().getSimpleName());
        }
    }

    private static Either<String, List<LogRecord>> records(
            MessageUnpacker unpacker, int bodyBytes, long fromOffset, long end) throws IOException {
        int count = unpacker.unpackArrayHeader();
        // Lengths are checked before memory is reserved for them.
        if (count > bodyBytes / MIN_RECORD_BYTES) {
            return Either.left(count + " records announced in " + bodyBytes + " bytes");
        }
        List<LogRecord> records = new ArrayList<>(count);
        long lowest = fromOffset;
        for (int i = 0; i < count; i++) {
            if (unpacker.unpackArrayHeader() != 2) {
                return Either.left("expected [offset, bytes] for record " + i);
            }
            long offset = unpacker.unpackLong();
            if (offset < lowest || offset >= end) {
                return Either.left("offset " + offset + " is not in " + lowest + " to " + end);
            }
            lowest = offset + 1;
            int length = unpacker.unpackBinaryHeader();
            if (length > bodyBytes - unpacker.getTotalReadBytes()) {
                return Either.left("record " + offset + " is cut off");
            }
            records.add(new LogRecord(offset, unpacker.readPayload(length)));
        }
        return unpacker.hasNext() ? Either.left("bytes follow the records") : Either.right(records);
    }
}
