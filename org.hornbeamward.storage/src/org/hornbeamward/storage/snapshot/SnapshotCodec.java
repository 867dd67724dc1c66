package org.hornbeamward.storage.snapshot;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.MalformedRecord;
import org.hornbeamward.errors.OversizedInput;
import org.hornbeamward.errors.SnapshotCorrupt;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Codec for the records of the snapshots stream in MessagePack: a chunk is {@code [id, index,
 * bytes, hash]}, a manifest is {@code [id, control offset, requests offset, chunk count, state
 * hash, state digest]}.
 */
final class SnapshotCodec {
    private static final int CHUNK_FIELDS = 4;
    private static final int MANIFEST_FIELDS = 6;
    private static final Hasher64 HASHER = Hashing.xxh3_64();

    private SnapshotCodec() {}

    static long hash(byte[] bytes, int from, int length) {
        return HASHER.hashBytesToLong(bytes, from, length);
    }

    static byte[] encodeChunk(String id, int index, byte[] state, int from, int length) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(CHUNK_FIELDS);
            packer.packString(id);
            packer.packInt(index);
            packer.packBinaryHeader(length);
            packer.writePayload(state, from, length);
            packer.packLong(hash(state, from, length));
            return packer.toByteArray();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    static byte[] encodeManifest(SnapshotManifest manifest) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(MANIFEST_FIELDS);
            packer.packString(manifest.snapshotId());
            packer.packLong(manifest.controlOffset());
            packer.packLong(manifest.requestsOffset());
            packer.packInt(manifest.chunkCount());
            packer.packLong(manifest.stateHash());
            packer.packLong(manifest.stateDigest());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Decodes a record into a {@link SnapshotChunk} or a {@link SnapshotManifest}. */
    static Either<HornbeamwardError, Record> decode(String place, byte[] record) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(record)) {
            int fields = unpacker.unpackArrayHeader();
            if (fields != CHUNK_FIELDS && fields != MANIFEST_FIELDS) {
                return malformed(
                        place, "expected 4 fields (chunk) or 6 fields (manifest), found " + fields);
            }
            int idLength = unpacker.unpackRawStringHeader();
            if (idLength < 1 || idLength > SnapshotManifest.MAX_ID_LENGTH) {
                return malformed(place, "invalid length of snapshot id: " + idLength + " bytes");
            }
            String id = new String(unpacker.readPayload(idLength), StandardCharsets.UTF_8);
            return fields == CHUNK_FIELDS
                    ? decodeChunk(place, id, unpacker)
                    : decodeManifest(place, id, unpacker);
        } catch (IOException | MessagePackException e) {
            return malformed(place, "not valid MessagePack: " + e.getClass().getSimpleName());
        }
    }

    private static Either<HornbeamwardError, Record> decodeChunk(
            String place, String id, MessageUnpacker unpacker) throws IOException {
        int index = unpacker.unpackInt();
        int length = unpacker.unpackBinaryHeader();
        if (index < 0) {
            return malformed(place, "negative chunk index " + index);
        }
        if (length > SnapshotChunk.MAX_BYTES) {
            String what = "chunk " + index + " of snapshot " + id;
            return Either.left(new OversizedInput(what, length, SnapshotChunk.MAX_BYTES));
        }
        byte[] bytes = unpacker.readPayload(length);
        if (unpacker.unpackLong() != hash(bytes, 0, length)) {
            return Either.left(new SnapshotCorrupt(id, "hash of chunk " + index + " differs"));
        }
        return Either.right(new SnapshotChunk(id, index, bytes));
    }

    private static Either<HornbeamwardError, Record> decodeManifest(
            String place, String id, MessageUnpacker unpacker) throws IOException {
        SnapshotManifest manifest =
                new SnapshotManifest(
                        id,
                        unpacker.unpackLong(),
                        unpacker.unpackLong(),
                        unpacker.unpackInt(),
                        unpacker.unpackLong(),
                        unpacker.unpackLong());
        if (manifest.controlOffset() < 0
                || manifest.requestsOffset() < 0
                || manifest.chunkCount() < 1) {
            return malformed(
                    place, "offsets or chunk count of snapshot " + id + " are out of range");
        }
        return Either.right(manifest);
    }

    private static Either<HornbeamwardError, Record> malformed(String place, String detail) {
        return Either.left(new MalformedRecord(place, detail));
    }
}
