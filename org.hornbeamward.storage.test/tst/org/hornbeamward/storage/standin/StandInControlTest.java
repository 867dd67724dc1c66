package org.hornbeamward.storage.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Map;
import org.hornbeamward.standin.list.ListStandIn;
import org.hornbeamward.standin.log.LogFaults;
import org.hornbeamward.standin.log.LogStandIn;
import org.hornbeamward.storage.internal.HttpResponse;
import org.hornbeamward.storage.internal.LimitedHttpClient;
import org.junit.jupiter.api.Test;

/** Guards against faults that are set but have no effect; other tests rely on the stand-ins. */
class StandInControlTest {
    private static final ObjectMapper JSON = new ObjectMapper();

    private static HttpResponse post(LimitedHttpClient client, String path, String body) {
        return client.post(path, body.getBytes(), 5_000, 1_000_000).join().get();
    }

    private static JsonNode events(LimitedHttpClient client) throws IOException {
        return JSON.readTree(client.get("/events", Map.of(), 5_000, 1_000_000).join().get().body());
    }

    @Test
    void logFaultsAreChangedByNameAndAppendsAreRecorded() throws Exception {
        try (LogStandIn log = new LogStandIn(0);
                LimitedHttpClient client =
                        new LimitedHttpClient("test", "127.0.0.1", log.port(), 5_000)) {
            assertEquals(200, post(client, "/faults", "{\"retainCount\":5}").status());
            assertEquals(200, post(client, "/faults", "{\"down\":true}").status());
            assertEquals(LogFaults.NONE.withRetainCount(5).withDown(true), log.faults());
            assertEquals(503, post(client, "/streams/s/records", "a").status());
            post(client, "/faults", "{\"down\":false}");
            assertEquals(200, post(client, "/streams/s/records", "a").status());
            assertEquals(400, post(client, "/faults", "{\"dwon\":true}").status());
            assertEquals(400, post(client, "/faults", "{\"loseFraction\":2}").status());
            assertEquals(400, post(client, "/faults", "[").status());
            JsonNode events = events(client);
            assertEquals(1, events.path("counts").path("append").asInt());
            assertEquals(1, events.path("counts").path("refused-down").asInt());
            JsonNode last = events.path("events").get(events.path("events").size() - 1);
            assertEquals("append", last.path("kind").asText());
            assertEquals("sent", last.path("answer").asText());
        }
    }

    @Test
    void listContentIsSetOverHttp() throws Exception {
        String instances =
                "{\"instances\":[{\"id\":\"w1\",\"kind\":\"worker\",\"address\":\"10.0.0.9:1\","
                        + "\"failureDomain\":\"d1\",\"state\":\"LIVE\"}]}";
        try (ListStandIn list = new ListStandIn(0);
                LimitedHttpClient client =
                        new LimitedHttpClient("test", "127.0.0.1", list.port(), 5_000)) {
            assertEquals(
                    "{\"version\":1}", new String(post(client, "/instances", instances).body()));
            assertEquals(400, post(client, "/instances", "{\"instances\":3}").status());
            HttpResponse response = client.get("/instances", Map.of(), 5_000, 10_000).join().get();
            assertEquals(1, JSON.readTree(response.body()).path("instances").size());
            Map<String, String> conditionalHeaders =
                    Map.of("If-None-Match", response.headers().get("ETag"));
            HttpResponse notModified =
                    client.get("/instances", conditionalHeaders, 5_000, 10_000).join().get();
            assertEquals(304, notModified.status());
            assertTrue(events(client).path("counts").path("served").asInt() == 2);
        }
    }
}
