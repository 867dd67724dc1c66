package org.hornbeamward.route.claim;

import java.util.Arrays;

/**
 * Stores claims in primitive arrays: a ring buffer in log order and a hash index into it that uses
 * linear probing. A claim takes 44 bytes, not counting the index.
 */
final class ClaimRing {
    private static final int INITIAL_CAPACITY = 1_024;
    private static final int INDEX_SIZE_FACTOR = 2;

    private final int mMaxCount;
    private long[] mHigh = new long[0];
    private long[] mLow = new long[0];
    private long[] mDigest = new long[0];
    private long[] mSequence = new long[0];
    private long[] mClaimedMillis = new long[0];
    private int[] mAuthorIndex = new int[0];
    private int[] mIndex = new int[0];
    private int mOldest;
    private int mSize;

    ClaimRing(int maxCount) {
        mMaxCount = maxCount;
        resize(Math.min(INITIAL_CAPACITY, maxCount));
    }

    int size() {
        return mSize;
    }

    long oldestClaimedMillis() {
        return mClaimedMillis[mOldest];
    }

    int positionAt(int ordinal) {
        return (mOldest + ordinal) % mHigh.length;
    }

    ClaimKey key(int position) {
        return new ClaimKey(mHigh[position], mLow[position]);
    }

    long digest(int position) {
        return mDigest[position];
    }

    long sequence(int position) {
        return mSequence[position];
    }

    long claimedMillis(int position) {
        return mClaimedMillis[position];
    }

    int authorIndex(int position) {
        return mAuthorIndex[position];
    }

    int find(ClaimKey key) {
        int cell = homeCell(key.low());
        while (mIndex[cell] >= 0) {
            int position = mIndex[cell];
            if (mLow[position] == key.low() && mHigh[position] == key.high()) {
                return position;
            }
            cell = nextCell(cell);
        }
        return -1;
    }

    void add(Claim claim, int authorIndex, long claimedMillis) {
        if (mSize == mHigh.length) {
            resize(Math.min(mMaxCount, mHigh.length * 2));
        }
        int position = positionAt(mSize);
        mHigh[position] = claim.key().high();
        mLow[position] = claim.key().low();
        mDigest[position] = claim.digest();
        mSequence[position] = claim.sequence();
        mClaimedMillis[position] = claimedMillis;
        mAuthorIndex[position] = authorIndex;
        mSize++;
        addToIndex(position);
    }

    void removeOldest() {
        int cell = homeCell(mLow[mOldest]);
        while (mIndex[cell] != mOldest) {
            cell = nextCell(cell);
        }
        removeFromIndex(cell);
        mOldest = positionAt(1);
        mSize--;
    }

    private void addToIndex(int position) {
        int cell = homeCell(mLow[position]);
        while (mIndex[cell] >= 0) {
            cell = nextCell(cell);
        }
        mIndex[cell] = position;
    }

    /**
     * Empties a cell of the index. Later entries of the same probe sequence are moved back into the
     * gap if their home cell allows it, so that lookups still find them.
     */
    private void removeFromIndex(int emptied) {
        int gap = emptied;
        int cell = nextCell(gap);
        while (mIndex[cell] >= 0) {
            int homeCell = homeCell(mLow[mIndex[cell]]);
            int distanceFromHome = Math.floorMod(cell - homeCell, mIndex.length);
            int distanceFromGap = Math.floorMod(cell - gap, mIndex.length);
            if (distanceFromHome >= distanceFromGap) {
                mIndex[gap] = mIndex[cell];
                gap = cell;
            }
            cell = nextCell(cell);
        }
        mIndex[gap] = -1;
    }

    private int homeCell(long low) {
        return (int) Long.remainderUnsigned(low, mIndex.length);
    }

    private int nextCell(int cell) {
        return cell + 1 == mIndex.length ? 0 : cell + 1;
    }

    private void resize(int capacity) {
        mHigh = copyInOrder(mHigh, capacity);
        mLow = copyInOrder(mLow, capacity);
        mDigest = copyInOrder(mDigest, capacity);
        mSequence = copyInOrder(mSequence, capacity);
        mClaimedMillis = copyInOrder(mClaimedMillis, capacity);
        int[] authors = new int[capacity];
        for (int ordinal = 0; ordinal < mSize; ordinal++) {
            authors[ordinal] = mAuthorIndex[(mOldest + ordinal) % mAuthorIndex.length];
        }
        mAuthorIndex = authors;
        mOldest = 0;
        mIndex = new int[capacity * INDEX_SIZE_FACTOR + 1];
        Arrays.fill(mIndex, -1);
        for (int position = 0; position < mSize; position++) {
            addToIndex(position);
        }
    }

    private long[] copyInOrder(long[] from, int capacity) {
        long[] to = new long[capacity];
        for (int ordinal = 0; ordinal < mSize; ordinal++) {
            to[ordinal] = from[(mOldest + ordinal) % from.length];
        }
        return to;
    }
}
