package org.hornbeamward.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests that a client sends on one connection without waiting for the responses before. */
class PipeliningTest {
    private static final int MAX_BODY_BYTES = 100;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final Pattern RESPONSE =
            Pattern.compile("HTTP/1.1 ([0-9]+) .*?\r\n\r\n(/[a-z0-9]*)?", Pattern.DOTALL);

    private final List<String> mHandled = new CopyOnWriteArrayList<>();
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
        mHandled.add(call.path());
        HttpReply reply = HttpReply.text(200, "text/plain", call.path());
        return call.path().startsWith("/slow")
                ? CompletableFuture.supplyAsync(
                        () -> reply, CompletableFuture.delayedExecutor(200, TimeUnit.MILLISECONDS))
                : CompletableFuture.completedFuture(reply);
    }

    private static String get(String path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    /** Sends the requests in one packet and returns the status and the path of each response. */
    private List<String> exchange(String requests) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), mServer.port())) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            String last = "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write((requests + last).getBytes(StandardCharsets.US_ASCII));
            String text =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            List<String> responses = new ArrayList<>();
            Matcher matcher = RESPONSE.matcher(text);
            while (matcher.find()) {
                responses.add(
                        matcher.group(1) + (matcher.group(2) == null ? "" : matcher.group(2)));
            }
            return responses;
        }
    }

    /** Guards against a caller that takes the state of one job for that of another one. */
    @Test
    void responsesAreSentInTheOrderOfTheRequests() throws IOException {
        assertEquals(
                List.of("200/slow1", "200/b", "200/slow2", "200/d", "200/last"),
                exchange(get("/slow1") + get("/b") + get("/slow2") + get("/d")));
    }

    /** Guards against a rejection that overtakes the response to the request before it. */
    @Test
    void theRejectionOfALargeBodyDoesNotOvertakeAnEarlierResponse() throws IOException {
        String large =
                "POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 500\r\n\r\n" + "x".repeat(500);
        List<String> responses = exchange(get("/slow") + large);
        assertEquals(List.of("200/slow", "413"), responses.subList(0, 2));
    }

    /** Guards against a stack that overflows when thousands of requests are answered at once. */
    @Test
    void thousandsOfRequestsInOnePacketAreAnswered() throws IOException {
        List<String> responses = exchange(get("/slow") + get("/a").repeat(5_000));
        assertEquals(5_002, responses.size());
        assertEquals("200/slow", responses.get(0));
        assertEquals("200/last", responses.get(5_001));
    }

    /** Guards against requests that are carried out although their connection is being closed. */
    @Test
    void requestsBehindOneThatClosesTheConnectionAreNotHandled() throws IOException {
        String closing = "GET /slow HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        assertEquals(List.of("200/slow"), exchange(closing + get("/b")));
        assertTrue(!mHandled.contains("/b"));
    }
}
