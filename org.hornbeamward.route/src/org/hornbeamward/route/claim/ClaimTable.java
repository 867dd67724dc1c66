package org.hornbeamward.route.claim;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.SnapshotCorrupt;
import org.hornbeamward.lib.InstanceId;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * First claimants by key: a deterministic function of the records of the requests stream. Claims
 * are kept in a ring of primitive arrays in log order, which is also the order in which they
 * expire, with an open-addressing index from key to ring position. Confined to one thread.
 */
public final class ClaimTable {
    /** Log time for which a key is kept. */
    public static final long KEEP_MILLIS = 2 * 60 * 60 * 1_000L;

    /** Most keys; a claim beyond them is ignored, so its request is not run. */
    public static final int MAX_KEYS = 200_000;

    /**
     * Most log time that one record adds. A wall clock that is set forward may not make all keys
     * expire at once, since their requests could then run twice.
     */
    static final long MAX_STEP_MILLIS = 10 * 60 * 1_000L;

    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_FIELDS = 4;

    private final ClaimRing mRing;
    private final int mMaxKeys;
    private final List<Author> mAuthors = new ArrayList<>();
    private final List<AuthorClock> mClocks = new ArrayList<>();
    private final Map<Author, Integer> mAuthorIndex = new HashMap<>();
    private long mLogTimeMillis;

    /** Creates the table before the first record. */
    public ClaimTable() {
        this(MAX_KEYS);
    }

    ClaimTable(int maxKeys) {
        mMaxKeys = maxKeys;
        mRing = new ClaimRing(maxKeys);
    }

    /**
     * Applies one record. The first claim for a key wins; later ones change nothing.
     *
     * @param record the decoded record
     */
    public void apply(ClaimRecord record) {
        Author author = new Author(record.instance(), record.incarnation());
        advance(author, record.authorWallMillis());
        while (mRing.size() > 0 && mRing.oldestMillis() + KEEP_MILLIS <= mLogTimeMillis) {
            mRing.removeOldest();
        }
        if (mRing.size() == 0) {
            mAuthors.clear();
            mClocks.clear();
            mAuthorIndex.clear();
            mClocks.set(
                    indexOf(author),
                    new AuthorClock(true, record.authorWallMillis(), mLogTimeMillis));
        }
        for (Claim claim : record.claims()) {
            if (!isFull() && mRing.find(claim.key()) < 0) {
                mRing.add(claim, indexOf(author), mLogTimeMillis);
            }
        }
    }

    /**
     * Advances log time by what an author's own clock shows since its last record, so that clocks
     * of different authors are never compared.
     */
    private void advance(Author author, long wallMillis) {
        int index = indexOf(author);
        AuthorClock last = mClocks.get(index);
        long step =
                last.started() ? Math.clamp(wallMillis - last.wallMillis(), 0, MAX_STEP_MILLIS) : 0;
        long ownMillis = (last.started() ? last.ownMillis() : mLogTimeMillis) + step;
        mClocks.set(index, new AuthorClock(true, wallMillis, ownMillis));
        mLogTimeMillis = Math.max(mLogTimeMillis, ownMillis);
    }

    /**
     * Finds the first claimant of a key.
     *
     * @param key the key
     * @return the claimant, or empty if the key is free
     */
    public Optional<ClaimHolder> find(ClaimKey key) {
        int position = mRing.find(key);
        if (position < 0) {
            return Optional.empty();
        }
        Author author = mAuthors.get(mRing.author(position));
        return Optional.of(
                new ClaimHolder(
                        author.instance(),
                        author.incarnation(),
                        mRing.sequence(position),
                        mRing.digest(position)));
    }

    /**
     * Tells whether new claims are refused.
     *
     * @return true at the limit of keys
     */
    public boolean isFull() {
        return mRing.size() >= mMaxKeys;
    }

    /**
     * Returns the number of keys.
     *
     * @return 0 to {@link #MAX_KEYS}
     */
    public int size() {
        return mRing.size();
    }

    private int indexOf(Author author) {
        return mAuthorIndex.computeIfAbsent(
                author,
                added -> {
                    mAuthors.add(added);
                    mClocks.add(new AuthorClock(false, 0, 0));
                    return mAuthors.size() - 1;
                });
    }

    /**
     * Encodes the table for a snapshot. Tables with the same claims have the same bytes.
     *
     * @return MessagePack bytes
     */
    public byte[] encode() {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(HEADER_FIELDS);
            packer.packInt(FORMAT_VERSION);
            packer.packLong(mLogTimeMillis);
            packer.packArrayHeader(mAuthors.size());
            for (int index = 0; index < mAuthors.size(); index++) {
                AuthorClock clock = mClocks.get(index);
                packer.packString(mAuthors.get(index).instance().value());
                packer.packLong(mAuthors.get(index).incarnation());
                packer.packBoolean(clock.started());
                packer.packLong(clock.wallMillis());
                packer.packLong(clock.ownMillis());
            }
            packer.packArrayHeader(mRing.size());
            for (int age = 0; age < mRing.size(); age++) {
                int position = mRing.positionOf(age);
                packer.packLong(mRing.key(position).high());
                packer.packLong(mRing.key(position).low());
                packer.packLong(mRing.digest(position));
                packer.packLong(mRing.sequence(position));
                packer.packLong(mRing.atMillis(position));
                packer.packInt(mRing.author(position));
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Returns the digest by which members compare their tables.
     *
     * @return 64-bit hash of the encoded table
     */
    public long digest() {
        return Hashing.komihash5_0().hashBytesToLong(encode());
    }

    /**
     * Decodes a table of a snapshot.
     *
     * @param bytes what {@link #encode} returned
     * @return the table, or what is wrong with the bytes
     */
    public static Either<HornbeamwardError, ClaimTable> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() != HEADER_FIELDS
                    || unpacker.unpackInt() != FORMAT_VERSION) {
                return corrupt("format version " + FORMAT_VERSION + " expected");
            }
            ClaimTable table = new ClaimTable();
            table.mLogTimeMillis = unpacker.unpackLong();
            int authors = unpacker.unpackArrayHeader();
            for (int index = 0; index < authors; index++) {
                Author author =
                        new Author(new InstanceId(unpacker.unpackString()), unpacker.unpackLong());
                AuthorClock clock =
                        new AuthorClock(
                                unpacker.unpackBoolean(),
                                unpacker.unpackLong(),
                                unpacker.unpackLong());
                table.mClocks.set(table.indexOf(author), clock);
            }
            int count = unpacker.unpackArrayHeader();
            for (int index = 0; index < count; index++) {
                ClaimKey key = new ClaimKey(unpacker.unpackLong(), unpacker.unpackLong());
                Claim claim = new Claim(key, unpacker.unpackLong(), unpacker.unpackLong());
                long atMillis = unpacker.unpackLong();
                int author = unpacker.unpackInt();
                if (author < 0 || author >= authors || table.isFull()) {
                    return corrupt("claim " + index + " is out of bounds");
                }
                table.mRing.add(claim, author, atMillis);
            }
            return Either.right(table);
        } catch (IOException | MessagePackException e) {
            return corrupt("a claim table expected: " + e.getMessage());
        }
    }

    private static Either<HornbeamwardError, ClaimTable> corrupt(String detail) {
        return Either.left(new SnapshotCorrupt("claims", detail));
    }

    private record Author(InstanceId instance, long incarnation) {}

    /** The author's wall clock at its last record, and the log time that it has counted itself. */
    private record AuthorClock(boolean started, long wallMillis, long ownMillis) {}
}
