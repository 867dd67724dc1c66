package org.hornbeamward.route.claim;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hornbeamward.lib.InstanceId;
import org.hornbeamward.transport.http.HttpReply;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that runs twice when claim records are lost, appended twice, delayed or
 * reordered.
 */
class ClaimTablePropertyTest {
    private static final int KEY_COUNT = 5;

    private final List<ClaimRecord> mLog = new ArrayList<>();
    private final List<ClaimRecord> mDelayedRecords = new ArrayList<>();
    private final Map<Long, Integer> mRuns = new HashMap<>();
    private long mNowNanos;

    @Property(seed = "22", tries = 300)
    void aKeyRunsAtMostOnceAndNeverAfterItWasReportedNotRunByItsClaimant(@ForAll long seed) {
        mLog.clear();
        mDelayedRecords.clear();
        mRuns.clear();
        mNowNanos = 0;
        Random random = new Random(seed);
        List<AtMostOnceExecutor> executors = new ArrayList<>();
        int[] read = new int[3];
        for (int index = 0; index < read.length; index++) {
            executors.add(executor(index, executors, random));
        }
        for (int step = 0; step < 200; step++) {
            mNowNanos++;
            int index = random.nextInt(executors.size());
            AtMostOnceExecutor executor = executors.get(index);
            switch (random.nextInt(5)) {
                case 0, 1 -> {
                    long key = random.nextInt(KEY_COUNT);
                    executor.run(
                            new ClaimKey(0, key),
                            key,
                            mNowNanos + 10,
                            () -> null,
                            () -> {
                                mRuns.merge(key, 1, Integer::sum);
                                return CompletableFuture.completedFuture(
                                        new RequestOutcome.Answered(HttpReply.json(200, "")));
                            });
                }
                case 2, 3 -> {
                    if (read[index] < mLog.size()) {
                        executor.apply(mLog.get(read[index]++));
                    }
                }
                default -> {
                    executor.expire();
                    if (!mDelayedRecords.isEmpty()) {
                        mLog.add(mDelayedRecords.remove(random.nextInt(mDelayedRecords.size())));
                    }
                }
            }
        }
        mRuns.values().forEach(runs -> assertEquals(1, runs));
    }

    private AtMostOnceExecutor executor(
            int index, List<AtMostOnceExecutor> executors, Random random) {
        return new AtMostOnceExecutor(
                new InstanceId("m" + index),
                index,
                record -> {
                    int appendResult = random.nextInt(4);
                    if (appendResult == 0) {
                        return new CompletableFuture<>();
                    }
                    if (appendResult == 1) {
                        mDelayedRecords.add(record);
                        return CompletableFuture.failedFuture(new IllegalStateException("lost"));
                    }
                    mLog.add(record);
                    if (appendResult == 2) {
                        mDelayedRecords.add(record);
                    }
                    return CompletableFuture.completedFuture(Either.right(0L));
                },
                (holder, key, millis) ->
                        executors
                                .get((int) holder.incarnation())
                                .answerQuery(holder.incarnation(), key, holder.sequence()),
                () -> mNowNanos,
                () -> mNowNanos,
                10_000);
    }

    @Test
    void tableKeepsTheFirstClaimRefusesBeyondItsLimitAndExpires() {
        ClaimTable table = new ClaimTable(3);
        table.apply(record("a", 0, 1, 2));
        table.apply(record("b", 1_000, 2, 3, 4));
        assertEquals(new InstanceId("a"), holder(table, 2));
        assertEquals(new InstanceId("b"), holder(table, 3));
        assertTrue(table.find(new ClaimKey(0, 4)).isEmpty());
        for (long wall = 0;
                wall <= ClaimTable.KEY_RETENTION_MILLIS;
                wall += ClaimTable.MAX_CLOCK_STEP_MILLIS) {
            assertEquals(new InstanceId("a"), holder(table, 1));
            table.apply(record("a", wall, 2));
        }
        table.apply(record("c", 77, 1, 5));
        assertEquals(new InstanceId("c"), holder(table, 1));
        assertEquals(3, table.size());
    }

    /**
     * Guards against a wall clock that is set forward and makes all keys expire at once, so that
     * their requests could run twice.
     */
    @Test
    void aWrongClockDoesNotExpireKeys() {
        ClaimTable table = new ClaimTable(3);
        table.apply(record("a", 1_000, 1));
        table.apply(record("b", 100 * ClaimTable.KEY_RETENTION_MILLIS, 1));
        table.apply(record("a", 100 * ClaimTable.KEY_RETENTION_MILLIS, 1));
        table.apply(record("a", 2_000, 1));
        assertEquals(1, table.size());
        assertEquals(new InstanceId("a"), holder(table, 1));
        ClaimTable decoded = ClaimTable.decode(table.encode()).get();
        decoded.apply(record("b", 200 * ClaimTable.KEY_RETENTION_MILLIS, 2));
        table.apply(record("b", 200 * ClaimTable.KEY_RETENTION_MILLIS, 2));
        assertArrayEquals(table.encode(), decoded.encode());
    }

    @Test
    void decodedTableIsTheSameAndDamagedBytesAreAnError() {
        ClaimTable table = new ClaimTable();
        Random random = new Random(5);
        for (int index = 0; index < 3_000; index++) {
            table.apply(record("m" + index % 3, index * 5_000L, random.nextLong()));
        }
        byte[] bytes = table.encode();
        ClaimTable decoded = ClaimTable.decode(bytes).get();
        assertArrayEquals(bytes, decoded.encode());
        assertEquals(table.digest(), decoded.digest());
        assertEquals(ClaimTable.KEY_RETENTION_MILLIS / 5_000, decoded.size());
        assertTrue(ClaimTable.decode(new byte[] {1, 2}).isLeft());
        ClaimRecord record = record("a", 7, 1, -2);
        assertEquals(record, ClaimRecord.decode(record.encode(), "here").get());
        assertTrue(ClaimRecord.decode(new byte[] {1}, "here").isLeft());
    }

    private static InstanceId holder(ClaimTable table, long key) {
        return table.find(new ClaimKey(0, key)).orElseThrow().instance();
    }

    private static ClaimRecord record(String instance, long wallMillis, long... keys) {
        List<Claim> claims = new ArrayList<>();
        for (long key : keys) {
            claims.add(new Claim(new ClaimKey(0, key), key, 1));
        }
        return new ClaimRecord(new InstanceId(instance), 1, wallMillis, claims);
    }
}
