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
 * Maps each key to its first claimant. The content is a deterministic function of the records of
 * the requests stream. Claims expire by log time, which advances with the wall clocks that the
 * authors of the records write into them. Claims are stored in a ring buffer of primitive arrays in
 * log order, which is also the order in which they expire, with an open-addressing index from key
 * to ring position. Not thread-safe; confined to one thread.
 */
public final class ClaimTable {
    /** Log time after which a key expires. */
    public static final long KEY_RETENTION_MILLIS = 2 * 60 * 60 * 1_000L;

    /** Maximum number of keys. A claim beyond it is ignored, so its request is not run. */
    public static final int MAX_KEYS = 200_000;

    /**
     * Maximum by which one record advances log time. Without it, a wall clock that is set forward
     * would make all keys expire at once, and their requests could run twice.
     */
    static final long MAX_CLOCK_STEP_MILLIS = 10 * 60 * 1_000L;

    private static final int FORMAT_VERSION = 1;
    private static final int HEADER_FIELDS = 4;

    private final ClaimRing mRing;
    private final int mMaxKeys;
    private final List<Author> mAuthors = new ArrayList<>();
    private final List<AuthorClock> mAuthorClocks = new ArrayList<>();
    private final Map<Author, Integer> mAuthorIndex = new HashMap<>();
    private long mLogTimeMillis;

    /** Creates an empty table. */
    public ClaimTable() {
        this(MAX_KEYS);
    }

    ClaimTable(int maxKeys) {
        mMaxKeys = maxKeys;
        mRing = new ClaimRing(maxKeys);
    }

    /**
     * Applies one record. The first claim for a key wins; later claims for it are ignored.
     *
     * @param record the decoded record
     */
    public void apply(ClaimRecord record) {
        Author author = new Author(record.instance(), record.incarnation());
        advanceLogTime(author, record.authorWallMillis());
        while (mRing.size() > 0
                && mRing.oldestClaimedMillis() + KEY_RETENTION_MILLIS <= mLogTimeMillis) {
            mRing.removeOldest();
        }
        if (mRing.size() == 0) {
            mAuthors.clear();
            mAuthorClocks.clear();
            mAuthorIndex.clear();
            mAuthorClocks.set(
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
     * Advances log time by the time that has passed on the author's wall clock since the author's
     * last record. The clocks of different authors are never compared.
     */
    private void advanceLogTime(Author author, long wallMillis) {
        int index = indexOf(author);
        AuthorClock last = mAuthorClocks.get(index);
        long step =
                last.started()
                        ? Math.clamp(wallMillis - last.wallMillis(), 0, MAX_CLOCK_STEP_MILLIS)
                        : 0;
        long authorLogMillis = (last.started() ? last.authorLogMillis() : mLogTimeMillis) + step;
        mAuthorClocks.set(index, new AuthorClock(true, wallMillis, authorLogMillis));
        mLogTimeMillis = Math.max(mLogTimeMillis, authorLogMillis);
    }

    /**
     * Finds the first claimant of a key.
     *
     * @param key key of a request
     * @return the claimant, or empty if the key is not claimed
     */
    public Optional<ClaimHolder> find(ClaimKey key) {
        int position = mRing.find(key);
        if (position < 0) {
            return Optional.empty();
        }
        Author author = mAuthors.get(mRing.authorIndex(position));
        return Optional.of(
                new ClaimHolder(
                        author.instance(),
                        author.incarnation(),
                        mRing.sequence(position),
                        mRing.digest(position)));
    }

    /**
     * Tells whether the table is full, so that new claims are ignored.
     *
     * @return true if the limit of keys is reached
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
                newAuthor -> {
                    mAuthors.add(newAuthor);
                    mAuthorClocks.add(new AuthorClock(false, 0, 0));
                    return mAuthors.size() - 1;
                });
    }

    /**
     * Encodes the table for a snapshot. Tables that have applied the same records are encoded to
     * the same bytes.
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
                AuthorClock clock = mAuthorClocks.get(index);
                packer.packString(mAuthors.get(index).instance().value());
                packer.packLong(mAuthors.get(index).incarnation());
                packer.packBoolean(clock.started());
                packer.packLong(clock.wallMillis());
                packer.packLong(clock.authorLogMillis());
            }
            packer.packArrayHeader(mRing.size());
            for (int ordinal = 0; ordinal < mRing.size(); ordinal++) {
                int position = mRing.positionAt(ordinal);
                packer.packLong(mRing.key(position).high());
                packer.packLong(mRing.key(position).low());
                packer.packLong(mRing.digest(position));
                packer.packLong(mRing.sequence(position));
                packer.packLong(mRing.claimedMillis(position));
                packer.packInt(mRing.authorIndex(position));
            }
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException("writing to memory failed", e);
        }
    }

    /**
     * Returns a digest with which members compare their tables.
     *
     * @return 64-bit hash of the encoded table
     */
    public long digest() {
        return Hashing.komihash5_0().hashBytesToLong(encode());
    }

    /**
     * Decodes a table from a snapshot.
     *
     * @param bytes result of {@link #encode}
     * @return the table, or an error that says what is wrong with the bytes
     */
    public static Either<HornbeamwardError, ClaimTable> decode(byte[] bytes) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
            if (unpacker.unpackArrayHeader() != HEADER_FIELDS
                    || unpacker.unpackInt() != FORMAT_VERSION) {
                return corrupt("format version " + FORMAT_VERSION + " expected");
            }
            ClaimTable table = new ClaimTable();
            table.mLogTimeMillis = unpacker.unpackLong();
            int authorCount = unpacker.unpackArrayHeader();
            for (int index = 0; index < authorCount; index++) {
                Author author =
                        new Author(new InstanceId(unpacker.unpackString()), unpacker.unpackLong());
                AuthorClock clock =
                        new AuthorClock(
                                unpacker.unpackBoolean(),
                                unpacker.unpackLong(),
                                unpacker.unpackLong());
                table.mAuthorClocks.set(table.indexOf(author), clock);
            }
            int claimCount = unpacker.unpackArrayHeader();
            for (int index = 0; index < claimCount; index++) {
                ClaimKey key = new ClaimKey(unpacker.unpackLong(), unpacker.unpackLong());
                Claim claim = new Claim(key, unpacker.unpackLong(), unpacker.unpackLong());
                long claimedMillis = unpacker.unpackLong();
                int authorIndex = unpacker.unpackInt();
                if (authorIndex < 0 || authorIndex >= authorCount || table.isFull()) {
                    return corrupt(
                            "claim "
                                    + index
                                    + " has an invalid author or exceeds the limit of keys");
                }
                table.mRing.add(claim, authorIndex, claimedMillis);
            }
            return Either.right(table);
        } catch (IOException | MessagePackException e) {
            return corrupt("not a claim table: " + e.getMessage());
        }
    }

    private static Either<HornbeamwardError, ClaimTable> corrupt(String detail) {
        return Either.left(new SnapshotCorrupt("claims", detail));
    }

    private record Author(InstanceId instance, long incarnation) {}

    /**
     * Clock of one author.
     *
     * @param started false until the first record of the author
     * @param wallMillis wall clock of the author at its last record
     * @param authorLogMillis log time according to the records of this author alone
     */
    private record AuthorClock(boolean started, long wallMillis, long authorLogMillis) {}
}
