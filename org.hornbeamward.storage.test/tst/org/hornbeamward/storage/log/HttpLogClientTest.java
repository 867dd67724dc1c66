package org.hornbeamward.storage.log;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.hornbeamward.errors.LogRetentionPassed;
import org.hornbeamward.standin.log.LogFaults;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;
import org.junit.jupiter.api.Test;

/** Guards against log responses that crash the client, exhaust its memory or make it hang. */
class HttpLogClientTest {
    private static final LogRead TWO_RECORDS =
            new LogRead(
                    3,
                    6,
                    List.of(new LogRecord(4, new byte[] {1}), new LogRecord(5, new byte[300])));

    private static String kind(Either<? extends org.hornbeamward.errors.HornbeamwardError, ?> e) {
        return e.getLeft().kind();
    }

    @Test
    void appendedRecordsAreReadBackWithinTheRequestedSize() throws InterruptedException {
        try (LogStandIn log = new LogStandIn(0);
                HttpLogClient client = new HttpLogClient("127.0.0.1", log.port(), 5_000)) {
            for (int i = 0; i < 4; i++) {
                byte[] record = new byte[1_000];
                record[0] = (byte) i;
                assertEquals(i, client.append("s", record).join().get());
            }
            LogRead read = client.read("s", 1, 0, 2_000).join().get();
            assertEquals(List.of(1L, 2L), read.records().stream().map(LogRecord::offset).toList());
            assertEquals(2, read.records().get(1).bytes()[0]);
            assertEquals(1, client.read("s", 0, 0, 1).join().get().records().size());
            assertEquals(new LogBounds(0, 4), client.bounds("s").join().get());
            log.setFaults(LogFaults.NONE.withRetainCount(1));
            assertEquals(new LogBounds(3, 4), client.bounds("s").join().get());
            assertEquals(
                    new LogRetentionPassed("s", 0, 3),
                    client.read("s", 0, 0, 2_000).join().getLeft());
        }
    }

    @Test
    void longPollReturnsWhenARecordArrives() throws InterruptedException {
        try (LogStandIn log = new LogStandIn(0);
                HttpLogClient client = new HttpLogClient("127.0.0.1", log.port(), 5_000)) {
            var pendingRead = client.read("s", 0, 60_000, 1_000);
            client.append("s", new byte[] {7}).join();
            assertArrayEquals(new byte[] {7}, pendingRead.join().get().records().get(0).bytes());
        }
    }

    @Test
    void outageLostResponseAndMissingServiceGiveTheSameTypedError() throws InterruptedException {
        int port;
        try (LogStandIn log = new LogStandIn(0);
                HttpLogClient client = new HttpLogClient("127.0.0.1", log.port(), 100)) {
            port = log.port();
            log.setFaults(LogFaults.NONE.withLoseNextAnswers(1));
            assertEquals("LogUnavailable", kind(client.append("s", new byte[1]).join()));
            assertEquals(1, log.records("s").size());
            log.setFaults(LogFaults.NONE.withDown(true));
            assertEquals("LogUnavailable", kind(client.read("s", 0, 0, 10).join()));
        }
        try (HttpLogClient client = new HttpLogClient("127.0.0.1", port, 100)) {
            assertEquals("LogUnavailable", kind(client.append("s", new byte[1]).join()));
        }
    }

    @Test
    void oversizedRecordIsRejectedBeforeItIsSent() throws InterruptedException {
        try (LogStandIn log = new LogStandIn(0);
                HttpLogClient client = new HttpLogClient("127.0.0.1", log.port(), 5_000)) {
            byte[] record = new byte[LogClient.MAX_RECORD_BYTES + 1];
            assertEquals("OversizedInput", kind(client.append("s", record).join()));
            assertEquals(0, log.events().countOf("append"));
        }
    }

    @Test
    void malformedAndOversizedResponsesAreTypedErrors() throws InterruptedException {
        assertEquals("MalformedRecord", kindOfRead(200, "not MessagePack".getBytes()));
        assertEquals("MalformedRecord", kindOfRead(200, new byte[0]));
        assertEquals("MalformedRecord", kindOfRead(410, "{}".getBytes()));
        assertEquals("MalformedRecord", kindOfRead(410, "{\"earliestOffset\":0}".getBytes()));
        assertEquals("OversizedInput", kindOfRead(200, new byte[2_000_000]));
        assertEquals("MalformedRecord", kindOfAppend(200, "{\"offset\":-1}".getBytes()));
        assertEquals("MalformedRecord", kindOfAppend(200, "{".getBytes()));
        assertEquals("OversizedInput", kindOfAppend(200, new byte[100_000]));
        assertEquals("LogUnavailable", kindOfAppend(500, new byte[0]));
    }

    private static String kindOfRead(int status, byte[] body) throws InterruptedException {
        try (HttpServer server = serverWith(status, body);
                HttpLogClient client = new HttpLogClient("127.0.0.1", server.port(), 5_000)) {
            return kind(client.read("s", 0, 0, 1_000).join());
        }
    }

    private static String kindOfAppend(int status, byte[] body) throws InterruptedException {
        try (HttpServer server = serverWith(status, body);
                HttpLogClient client = new HttpLogClient("127.0.0.1", server.port(), 5_000)) {
            return kind(client.append("s", new byte[1]).join());
        }
    }

    private static HttpServer serverWith(int status, byte[] body) throws InterruptedException {
        HttpReply reply = new HttpReply(status, Map.of(), body);
        return new HttpServer(
                "127.0.0.1", 0, 1, 1_000, call -> CompletableFuture.completedFuture(reply));
    }

    @Test
    void readResponseWithWrongOffsetsIsRejected() {
        byte[] body = ReadResponseCodec.encode(TWO_RECORDS);
        assertTrue(ReadResponseCodec.decode(body, 4).isRight());
        assertTrue(
                ReadResponseCodec.decode(body, 5).isLeft(), "record before the requested offset");
        assertTrue(ReadResponseCodec.decode(body, 7).isLeft(), "end before the requested offset");
        byte[] empty = ReadResponseCodec.encode(new LogRead(0, 9, List.of()));
        assertTrue(
                ReadResponseCodec.decode(empty, 4).isLeft(),
                "no records although the end is later");
    }

    @Property(seed = "21")
    void truncatedResponseIsRejected(@ForAll @IntRange(min = 0, max = 311) int length) {
        byte[] body = ReadResponseCodec.encode(TWO_RECORDS);
        byte[] truncated = Arrays.copyOf(body, Math.min(length, body.length - 1));
        assertTrue(ReadResponseCodec.decode(truncated, 4).isLeft());
    }

    @Property(seed = "22")
    void anyBytesAreDecodedOrRejected(@ForAll @Size(max = 64) byte[] body) {
        ReadResponseCodec.decode(body, 0).peek(read -> assertTrue(read.earliestOffset() >= 0));
    }
}
