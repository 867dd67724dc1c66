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
 * Codec for the body of a read response: {@code [earliest offset, end offset, [[offset,
 * bytes]...]]} in MessagePack.
 */
public final class ReadResponseCodec {
    // Minimum encoded size of a record: array header, offset, binary header of two bytes.
    private static final int MIN_RECORD_BYTES = 4;

    private ReadResponseCodec() {}

    /**
     * Encodes the result of a read.
     *
     * @param read the result
     * @return the response body
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
     * Decodes a response body. The record offsets must be strictly increasing, not below the
     * requested offset and below the end offset.
     *
     * @param body the response body
     * @param fromOffset the requested offset
     * @return the result of the read, or a description of the error
     */
    public static Either<String, LogRead> decode(byte[] body, long fromOffset) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            if (unpacker.unpackArrayHeader() != 3) {
                return Either.left("expected an array of 3 elements");
            }
            long earliest = unpacker.unpackLong();
            long end = unpacker.unpackLong();
            if (earliest < 0 || end < earliest) {
                return Either.left("invalid offset range: earliest " + earliest + ", end " + end);
            }
            if (end < fromOffset) {
                return Either.left("end offset " + end + " is before the requested offset");
            }
            return decodeRecords(unpacker, body.length, fromOffset, end)
                    .map(records -> new LogRead(earliest, end, records))
                    .filterOrElse(
                            read -> !read.records().isEmpty() || end <= fromOffset,
                            read -> "no records although the end offset is " + end);
        } catch (IOException | MessagePackException e) {
            return Either.left("not valid MessagePack: " + e.getClass().getSimpleName());
        }
    }

    private static Either<String, List<LogRecord>> decodeRecords(
            MessageUnpacker unpacker, int bodyBytes, long fromOffset, long end) throws IOException {
        int count = unpacker.unpackArrayHeader();
        // Checks each length before allocating memory for it.
        if (count > bodyBytes / MIN_RECORD_BYTES) {
            return Either.left(count + " records declared in a body of " + bodyBytes + " bytes");
        }
        List<LogRecord> records = new ArrayList<>(count);
        long minOffset = fromOffset;
        for (int i = 0; i < count; i++) {
            if (unpacker.unpackArrayHeader() != 2) {
                return Either.left("expected [offset, bytes] for record " + i);
            }
            long offset = unpacker.unpackLong();
            if (offset < minOffset || offset >= end) {
                return Either.left(
                        "offset " + offset + " is not in [" + minOffset + ", " + end + ")");
            }
            minOffset = offset + 1;
            int length = unpacker.unpackBinaryHeader();
            if (length > bodyBytes - unpacker.getTotalReadBytes()) {
                return Either.left("record " + offset + " is truncated");
            }
            records.add(new LogRecord(offset, unpacker.readPayload(length)));
        }
        return unpacker.hasNext()
                ? Either.left("unexpected bytes after the records")
                : Either.right(records);
    }
}
