package org.hornbeamward.route.claim;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.MalformedRecord;
import org.hornbeamward.lib.InstanceId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * One record of the requests stream: {@code [formatVersion, instance, incarnation, author wall time
 * ms, [key high, key low, digest, sequence]...]}.
 *
 * @param instance instance that wrote the record (its author)
 * @param incarnation incarnation of the author
 * @param authorWallMillis wall clock of the author
 * @param claims 1 to {@link #MAX_CLAIMS} claims
 */
public record ClaimRecord(
        InstanceId instance, long incarnation, long authorWallMillis, List<Claim> claims) {
    /** Maximum number of claims in one record. */
    public static final int MAX_CLAIMS = 1_000;

    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_FIELDS = 5;

    /** Copies the list of claims. */
    public ClaimRecord {
        claims = List.copyOf(claims);
    }

    /**
     * Encodes the record.
     *
     * @return MessagePack bytes
     */
    public byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(HEADER_FIELDS);
            packer.packInt(FORMAT_VERSION);
            packer.packString(instance.value());
            packer.packLong(incarnation);
            packer.packLong(authorWallMillis);
            packer.packArrayHeader(claims.size());
            for (Claim claim : claims) {
                packer.packLong(claim.key().high());
                packer.packLong(claim.key().low());
                packer.packLong(claim.digest());
                packer.packLong(claim.sequence());
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param bytes the encoded record
     * @param place stream and offset, for the error message
     * @return the record, or an error that says what is malformed
     */
    public static Either<HornbeamwardError, ClaimRecord> decode(byte[] bytes, String place) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            int fields = unpacker.unpackArrayHeader();
            int version = unpacker.unpackInt();
            if (fields != HEADER_FIELDS || version != FORMAT_VERSION) {
                return malformed(place, "format version 1 expected, found " + version);
            }
            Either<? extends HornbeamwardError, InstanceId> instance =
                    InstanceId.parse(unpacker.unpackString());
            if (instance.isLeft()) {
                return malformed(place, instance.getLeft().message());
            }
            long incarnation = unpacker.unpackLong();
            long wallMillis = unpacker.unpackLong();
            int count = unpacker.unpackArrayHeader();
            if (count < 1 || count > MAX_CLAIMS) {
                return malformed(place, "1 to " + MAX_CLAIMS + " claims expected, found " + count);
            }
            List<Claim> claims = new ArrayList<>(count);
            for (int index = 0; index < count; index++) {
                ClaimKey key = new ClaimKey(unpacker.unpackLong(), unpacker.unpackLong());
                claims.add(new Claim(key, unpacker.unpackLong(), unpacker.unpackLong()));
            }
            return Either.right(new ClaimRecord(instance.get(), incarnation, wallMillis, claims));
        } catch (IOException | MessagePackException e) {
            return malformed(place, "not a claim record: " + e.getMessage());
        }
    }

    private static Either<HornbeamwardError, ClaimRecord> malformed(String place, String detail) {
        return Either.left(new MalformedRecord(place, detail));
    }
}
