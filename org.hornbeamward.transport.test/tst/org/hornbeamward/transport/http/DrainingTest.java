package org.hornbeamward.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A server that drains while clients have open connections. */
class DrainingTest {
    private static final int MAX_BODY_BYTES = 100;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final String CLOSE = "connection: close";

    private final AtomicInteger mHandledCount = new AtomicInteger();
    private HttpServer mServer;

    @BeforeEach
    void startServer() throws InterruptedException {
        mServer = new HttpServer("127.0.0.1", 0, 1, MAX_BODY_BYTES, this::handle);
    }

    @AfterEach
    void closeServer() {
        mServer.close();
    }

    private CompletionStage<HttpReply> handle(HttpCall call) {
        mHandledCount.incrementAndGet();
        HttpReply reply = HttpReply.text(200, "text/plain", call.path() + ";");
        return call.path().startsWith("/slow")
                ? CompletableFuture.supplyAsync(
                        () -> reply, CompletableFuture.delayedExecutor(300, TimeUnit.MILLISECONDS))
                : CompletableFuture.completedFuture(reply);
    }

    private CompletionStage<HttpReply> handleLater(HttpCall call) {
        mHandledCount.incrementAndGet();
        return CompletableFuture.supplyAsync(
                () -> HttpReply.text(200, "text/plain", call.path()),
                CompletableFuture.delayedExecutor(10, TimeUnit.MILLISECONDS));
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int character = socket.getInputStream().read();
            assertTrue(character >= 0, "the connection has ended after: " + text);
            text.append((char) character);
        }
        return text.toString();
    }

    private static String readToEnd(Socket socket) throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    }

    private void awaitHandled(int count) throws InterruptedException {
        while (mHandledCount.get() < count) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    /** Guards against requests that were read behind another one and get no response. */
    @Test
    void requestsThatWereReadBehindAnotherOneAreAnswered() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/slow") + get("/b") + get("/slowest"));
            awaitHandled(1);

            mServer.startDraining();
            String text = readToEnd(socket);

            assertEquals(text.indexOf(CLOSE), text.lastIndexOf(CLOSE));
            assertTrue(text.indexOf("/slow;") < text.indexOf("/b;"));
            assertTrue(text.indexOf("/b;") < text.indexOf(CLOSE));
            assertTrue(text.endsWith("/slowest;"));
        }
    }

    /** Guards against clients that send a request to a server that is about to end. */
    @Test
    void afterTheAnnouncementAConnectionIsClosedBehindItsNextResponse() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/a"));
            assertFalse(readUntil(socket, "/a;").contains(CLOSE));

            mServer.closeAfterResponses();
            send(socket, get("/b"));

            assertTrue(readToEnd(socket).contains(CLOSE));
        }
        try (Socket socket = connect()) {
            send(socket, get("/c"));
            assertTrue(readToEnd(socket).endsWith("/c;"));
        }
    }

    /** Guards against a drain that waits for clients that ask for nothing. */
    @Test
    void aDrainingServerClosesIdleConnections() throws Exception {
        try (Socket socket = connect();
                Socket unused = connect()) {
            send(socket, get("/a"));
            readUntil(socket, "/a;");

            mServer.drain().get(2, TimeUnit.SECONDS);

            assertEquals("", readToEnd(socket));
            assertEquals("", readToEnd(unused));
            assertEquals(0, mServer.connectionCount());
        }
    }

    /** Guards against a drain that ends, or closes a connection, before a response is sent. */
    @Test
    void aDrainingServerAnswersTheRequestsThatItHasRead() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/slow"));
            awaitHandled(1);

            CompletableFuture<Void> drained = mServer.drain();

            assertFalse(drained.isDone());
            String text = readToEnd(socket);
            assertTrue(text.contains(CLOSE));
            assertTrue(text.endsWith("/slow;"));
            drained.get(2, TimeUnit.SECONDS);
        }
    }

    /** Guards against a drained server that seems to have cut off requests. */
    @Test
    void aDrainedServerHasNoRequestInFlight() throws Exception {
        for (int round = 0; round < 20; round++) {
            try (HttpServer server =
                            new HttpServer("127.0.0.1", 0, 1, MAX_BODY_BYTES, this::handleLater);
                    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
                send(socket, get("/a"));
                awaitHandled(round + 1);

                CompletableFuture<Integer> inFlightCount =
                        server.drain().thenApply(unused -> server.inFlightCount());

                assertEquals(0, inFlightCount.get(2, TimeUnit.SECONDS));
            }
        }
    }

    /** Guards against a request that is cut off while its body arrives. */
    @Test
    void aDrainingServerAnswersARequestThatItIsReading() throws Exception {
        try (Socket socket = connect()) {
            send(socket, get("/a"));
            readUntil(socket, "/a;");
            send(socket, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nx");
            TimeUnit.MILLISECONDS.sleep(200);

            CompletableFuture<Void> drained = mServer.drain();
            TimeUnit.MILLISECONDS.sleep(200);
            send(socket, "xxx");

            assertTrue(readToEnd(socket).endsWith("/body;"));
            drained.get(2, TimeUnit.SECONDS);
        }
    }

    /** Guards against a drain that never ends after a request whose body was rejected. */
    @Test
    void aConnectionOnWhichALargeBodyWasRejectedIsIdle() throws Exception {
        try (Socket socket = connect()) {
            send(
                    socket,
                    "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n"
                            + "x".repeat(500)
                            + get("/a"));
            readUntil(socket, "/a;");

            mServer.drain().get(2, TimeUnit.SECONDS);

            assertEquals("", readToEnd(socket));
        }
    }
}
