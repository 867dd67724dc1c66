package org.hornbeamward.route.claim;

import java.util.Arrays;

/**
 * Claims in primitive arrays: a ring in log order and a linear-probing index into it. Needs 44
 * bytes per claim besides the index.
 */
final class ClaimRing {
    private static final int FIRST_CAPACITY = 1_024;
    private static final int INDEX_FACTOR = 2;

    private final int mMaxCount;
    private long[] mHigh = new long[0];
    private long[] mLow = new long[0];
    private long[] mDigest = new long[0];
    private long[] mSequence = new long[0];
    private long[] mAtMillis = new long[0];
    private int[] mAuthor = new int[0];
    private int[] mIndex = new int[0];
    private int mFirst;
    private int mSize;

    ClaimRing(int maxCount) {
        mMaxCount = maxCount;
        resize(Math.min(FIRST_CAPACITY, maxCount));
    }

    int size() {
        return mSize;
    }

    long oldestMillis() {
        return mAtMillis[mFirst];
    }

    int positionOf(int age) {
        return (mFirst + age) % mHigh.length;
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

    long atMillis(int position) {
        return mAtMillis[position];
    }

    int author(int position) {
        return mAuthor[position];
    }

    int find(ClaimKey key) {
        int cell = home(key.low());
        while (mIndex[cell] >= 0) {
            int position = mIndex[cell];
            if (mLow[position] == key.low() && mHigh[position] == key.high()) {
                return position;
            }
            cell = next(cell);
        }
        return -1;
    }

    void add(Claim claim, int author, long atMillis) {
        if (mSize == mHigh.length) {
            resize(Math.min(mMaxCount, mHigh.length * 2));
        }
        int position = positionOf(mSize);
        mHigh[position] = claim.key().high();
        mLow[position] = claim.key().low();
        mDigest[position] = claim.digest();
        mSequence[position] = claim.sequence();
        mAtMillis[position] = atMillis;
        mAuthor[position] = author;
        mSize++;
        link(position);
    }

    void removeOldest() {
        int cell = home(mLow[mFirst]);
        while (mIndex[cell] != mFirst) {
            cell = next(cell);
        }
        unlink(cell);
        mFirst = positionOf(1);
        mSize--;
    }

    private void link(int position) {
        int cell = home(mLow[position]);
        while (mIndex[cell] >= 0) {
            cell = next(cell);
        }
        mIndex[cell] = position;
    }

    /** Closes the gap by moving back each later entry of the run that may stand there. */
    private void unlink(int emptied) {
        int gap = emptied;
        int cell = next(gap);
        while (mIndex[cell] >= 0) {
            int home = home(mLow[mIndex[cell]]);
            int distanceFromHome = Math.floorMod(cell - home, mIndex.length);
            int distanceFromGap = Math.floorMod(cell - gap, mIndex.length);
            if (distanceFromHome >= distanceFromGap) {
                mIndex[gap] = mIndex[cell];
                gap = cell;
            }
            cell = next(cell);
        }
        mIndex[gap] = -1;
    }

    private int home(long low) {
        return (int) Long.remainderUnsigned(low, mIndex.length);
    }

    private int next(int cell) {
        return cell + 1 == mIndex.length ? 0 : cell + 1;
    }

    private void resize(int capacity) {
        mHigh = unroll(mHigh, capacity);
        mLow = unroll(mLow, capacity);
        mDigest = unroll(mDigest, capacity);
        mSequence = unroll(mSequence, capacity);
        mAtMillis = unroll(mAtMillis, capacity);
        int[] authors = new int[capacity];
        for (int age = 0; age < mSize; age++) {
            authors[age] = mAuthor[(mFirst + age) % mAuthor.length];
        }
        mAuthor = authors;
        mFirst = 0;
        mIndex = new int[capacity * INDEX_FACTOR + 1];
        Arrays.fill(mIndex, -1);
        for (int position = 0; position < mSize; position++) {
            link(position);
        }
    }

    private long[] unroll(long[] from, int capacity) {
        long[] to = new long[capacity];
        for (int age = 0; age < mSize; age++) {
            to[age] = from[(mFirst + age) % from.length];
        }
        return to;
    }
}
