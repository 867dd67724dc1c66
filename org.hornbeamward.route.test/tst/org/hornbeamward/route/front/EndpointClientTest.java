package org.hornbeamward.route.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import org.hornbeamward.transport.http.HttpCall;
import org.hornbeamward.transport.http.HttpReply;
import org.hornbeamward.transport.http.HttpServer;
import org.junit.jupiter.api.Test;

/** Guards against state, such as cookies, that leaks from one caller's request into another's. */
class EndpointClientTest {
    private final List<HttpHeaders> mReceived = new CopyOnWriteArrayList<>();

    private HttpServer server(int bodyBytes) throws InterruptedException {
        List<Map.Entry<String, String>> cookies =
                List.of(Map.entry("Set-Cookie", "a=1"), Map.entry("Set-Cookie", "b=2"));
        return new HttpServer(
                "127.0.0.1",
                0,
                1,
                1_000,
                call -> {
                    mReceived.add(call.headers());
                    return CompletableFuture.completedFuture(
                            new HttpReply(200, Map.of(), new byte[bodyBytes], cookies));
                });
    }

    private static SendResult send(EndpointClient client, int port, HttpHeaders headers) {
        HttpCall call = new HttpCall("GET", "/s", "/s", Map.of(), headers, new byte[0]);
        return client.send("127.0.0.1:" + port, call, 700, 2_000).toCompletableFuture().join();
    }

    @Test
    void cookiesAndHopByHopFieldsOfOneRequestDoNotReachAnother() throws InterruptedException {
        try (HttpServer server = server(10);
                EndpointClient client = new EndpointClient(1, 100)) {
            HttpHeaders headers = new DefaultHttpHeaders();
            headers.add("Connection", "X-Hop, keep-alive").add("X-Hop", "1").add("X-Own", "2");
            SendResult.Answered first =
                    assertInstanceOf(
                            SendResult.Answered.class, send(client, server.port(), headers));
            send(client, server.port(), new DefaultHttpHeaders());
            List<String> cookies = new ArrayList<>();
            for (Map.Entry<String, String> field : first.reply().repeatedHeaders()) {
                if (field.getKey().equalsIgnoreCase("Set-Cookie")) {
                    cookies.add(field.getValue());
                }
            }
            assertEquals(List.of("a=1", "b=2"), cookies);
            assertFalse(mReceived.get(0).contains("X-Hop"));
            assertEquals("2", mReceived.get(0).get("X-Own"));
            assertEquals("700", mReceived.get(0).get("X-Request-Timeout-Millis"));
            assertFalse(mReceived.get(1).contains("Cookie"));
        }
    }

    @Test
    void longAnswerAndClosedPortAreToldApart() throws InterruptedException {
        int port;
        try (HttpServer server = server(101);
                EndpointClient client = new EndpointClient(1, 100)) {
            port = server.port();
            SendResult.Broken broken =
                    assertInstanceOf(
                            SendResult.Broken.class, send(client, port, new DefaultHttpHeaders()));
            assertTrue(broken.processingEnded());
        }
        try (EndpointClient client = new EndpointClient(1, 100)) {
            assertInstanceOf(
                    SendResult.NotSent.class, send(client, port, new DefaultHttpHeaders()));
        }
    }
}
