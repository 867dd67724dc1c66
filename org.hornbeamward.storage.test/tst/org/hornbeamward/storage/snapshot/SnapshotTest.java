package org.hornbeamward.storage.snapshot;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.hornbeamward.errors.HornbeamwardError;
import org.hornbeamward.errors.NoUsableSnapshot;
import org.hornbeamward.lib.JitteredBackoff;
import org.hornbeamward.standin.log.LogFaults;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.storage.log.HttpLogClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against loading a snapshot that is incomplete, corrupt or too old. */
class SnapshotTest {
    private static final int MAX_STATE_BYTES = 16 * 1024 * 1024;

    private LogStandIn mLog;
    private HttpLogClient mClient;

    @BeforeEach
    void start() throws InterruptedException {
        mLog = new LogStandIn(0);
        mClient = new HttpLogClient("127.0.0.1", mLog.port(), 300);
    }

    @AfterEach
    void stop() {
        mClient.close();
        mLog.close();
    }

    private static byte[] state(int seed, int sizeBytes) {
        byte[] state = new byte[sizeBytes];
        new Random(seed).nextBytes(state);
        return state;
    }

    private Either<HornbeamwardError, SnapshotManifest> publish(
            String id, long controlOffset, byte[] state) throws InterruptedException {
        return new SnapshotPublisher(
                        mClient, "snapshots", new JitteredBackoff(new Random(9), 1, 5), 4)
                .setSnapshotId(id)
                .setOffsets(controlOffset, controlOffset / 2)
                .setState(state, 77)
                .call();
    }

    private Either<HornbeamwardError, LoadedSnapshot> load() throws InterruptedException {
        return loader().call();
    }

    private SnapshotLoader loader() {
        return new SnapshotLoader(mClient, "snapshots", MAX_STATE_BYTES);
    }

    private void append(byte[] record) {
        assertTrue(mClient.append("snapshots", record).join().isRight());
    }

    /** Returns the records of a snapshot: two chunks and a manifest. */
    private static List<byte[]> records(String id, long controlOffset, byte[] state) {
        int first = SnapshotChunk.MAX_BYTES;
        List<byte[]> records = new ArrayList<>();
        records.add(SnapshotCodec.encodeChunk(id, 0, state, 0, first));
        records.add(SnapshotCodec.encodeChunk(id, 1, state, first, state.length - first));
        long hash = SnapshotCodec.hash(state, 0, state.length);
        records.add(
                SnapshotCodec.encodeManifest(
                        new SnapshotManifest(id, controlOffset, 0, 2, hash, 5)));
        return records;
    }

    private static List<String> messages(List<HornbeamwardError> errors) {
        return errors.stream().map(HornbeamwardError::message).toList();
    }

    private static void assertReported(List<HornbeamwardError> errors, String text) {
        assertTrue(
                messages(errors).stream().anyMatch(message -> message.contains(text)),
                () -> text + " is not reported in " + messages(errors));
    }

    @Test
    void newestOfSeveralSnapshotsIsLoadedCompletely() throws InterruptedException {
        byte[] newest = state(2, 700_000);
        publish("old", 100, state(1, 300_000));
        SnapshotManifest published = publish("new", 300, newest).get();
        publish("middle", 200, new byte[0]);
        LoadedSnapshot loaded = load().get();
        assertEquals(published, loaded.manifest());
        assertEquals(
                new SnapshotManifest("new", 300, 150, 6, published.stateHash(), 77), published);
        assertArrayEquals(newest, loaded.state());
        assertTrue(loaded.ignored().isEmpty());
    }

    @Test
    void emptyStateIsPublishedAndLoaded() throws InterruptedException {
        publish("empty", 1, new byte[0]);
        assertEquals(0, load().get().state().length);
    }

    @Test
    void partlyPublishedSnapshotIsIgnoredAndReported() throws InterruptedException {
        byte[] good = state(1, 200_000);
        publish("good", 100, good);
        append(records("half", 200, state(2, 200_000)).get(0));
        List<byte[]> gap = records("gap", 300, state(3, 200_000));
        append(gap.get(0));
        append(gap.get(2));
        LoadedSnapshot loaded = load().get();
        assertArrayEquals(good, loaded.state());
        assertReported(loaded.ignored(), "snapshot half is corrupt: it has no manifest");
        assertReported(loaded.ignored(), "snapshot gap is corrupt: chunk 1 is missing");
    }

    @Test
    void interleavedReorderedAndDuplicateRecordsGiveTheSameState() throws InterruptedException {
        byte[] newest = state(2, 200_000);
        List<byte[]> all = new ArrayList<>(records("a", 100, state(1, 200_000)));
        all.addAll(records("b", 200, newest));
        all.addAll(records("b", 200, newest));
        Collections.shuffle(all, new Random(31));
        all.forEach(this::append);
        LoadedSnapshot loaded = load().get();
        assertEquals("b", loaded.manifest().snapshotId());
        assertArrayEquals(newest, loaded.state());
        assertTrue(loaded.ignored().isEmpty());
    }

    @Test
    void corruptChunkIsReportedAndAValidCopyIsUsed() throws InterruptedException {
        byte[] state = state(1, 200_000);
        List<byte[]> records = records("a", 100, state);
        byte[] corrupt = records.get(1).clone();
        corrupt[corrupt.length / 2] ^= 1;
        append(records.get(0));
        append(corrupt);
        append(records.get(2));
        NoUsableSnapshot error = (NoUsableSnapshot) load().getLeft();
        assertReported(error.ignored(), "hash of chunk 1 differs");
        append(records.get(1));
        assertArrayEquals(state, load().get().state());
    }

    @Test
    void wrongStateHashFallsBackToTheOlderSnapshot() throws InterruptedException {
        byte[] good = state(1, 200_000);
        records("good", 100, good).forEach(this::append);
        List<byte[]> mixed = records("mixed", 200, state(2, 200_000));
        append(records("mixed", 200, state(3, 200_000)).get(0));
        append(mixed.get(1));
        append(mixed.get(2));
        LoadedSnapshot loaded = load().get();
        assertArrayEquals(good, loaded.state());
        assertReported(loaded.ignored(), "snapshot mixed is corrupt: hash of the whole state");
    }

    @Test
    void snapshotBeforeRetentionOfTheStreamsIsNotUsed() throws InterruptedException {
        publish("old", 100, state(1, 1_000));
        assertTrue(loader().setEarliestOffsets(100, 50).call().isRight());
        assertEquals(
                "NoUsableSnapshot", loader().setEarliestOffsets(101, 0).call().getLeft().kind());
        assertEquals(
                "NoUsableSnapshot", loader().setEarliestOffsets(0, 51).call().getLeft().kind());
    }

    @Test
    void snapshotWithChunksRemovedByRetentionIsIgnored() throws InterruptedException {
        byte[] kept = state(1, 100_000);
        records("cut", 200, state(2, 200_000)).forEach(this::append);
        publish("kept", 100, kept);
        mLog.setFaults(LogFaults.NONE.withRetainCount(4));
        LoadedSnapshot loaded = load().get();
        assertArrayEquals(kept, loaded.state());
        assertReported(loaded.ignored(), "snapshot cut is corrupt: chunk 0 is missing");
    }

    @Test
    void lostResponsesDoNotCorruptTheSnapshot() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withLoseNextAnswers(2));
        byte[] state = state(1, 300_000);
        assertTrue(publish("a", 100, state).isRight());
        assertEquals(6, mLog.records("snapshots").size(), "4 records and 2 duplicates");
        assertArrayEquals(state, load().get().state());
    }

    @Test
    void outageIsATypedErrorForPublisherAndLoader() throws InterruptedException {
        mLog.setFaults(LogFaults.NONE.withDown(true));
        assertEquals("LogUnavailable", publish("a", 100, new byte[1]).getLeft().kind());
        assertEquals("LogUnavailable", load().getLeft().kind());
    }

    @Test
    void oversizedStateAndMalformedRecordsAreRejected() throws InterruptedException {
        append("not MessagePack".getBytes());
        publish("a", 100, state(1, 1_000));
        NoUsableSnapshot error =
                (NoUsableSnapshot) new SnapshotLoader(mClient, "snapshots", 999).call().getLeft();
        assertReported(error.ignored(), "record at snapshots offset 0 is malformed");
        assertReported(error.ignored(), "snapshot a has 1000 bytes, above the limit of 999");
        assertEquals("InvalidSetting", publish("", 1, new byte[0]).getLeft().kind());
    }

    @Property(seed = "41")
    void anyBytesAreDecodedOrRejected(@ForAll @Size(max = 64) byte[] record) {
        SnapshotCodec.decode("test", record).peekLeft(error -> assertTrue(error.message() != null));
    }
}
