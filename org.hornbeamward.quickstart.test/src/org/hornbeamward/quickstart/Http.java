package org.hornbeamward.quickstart;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;

/** HTTP client for callers and for the control interfaces of the stand-ins. */
final class Http implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();
    private final AsyncHttpClient mClient;

    Http() {
        mClient =
                Dsl.asyncHttpClient(
                        new DefaultAsyncHttpClientConfig.Builder()
                                .setMaxRequestRetry(0)
                                .setKeepAlive(true)
                                .setRequestTimeout(Duration.ofSeconds(10))
                                .setReadTimeout(Duration.ofSeconds(10)));
    }

    CompletableFuture<Response> send(RequestBuilder request) {
        return mClient.executeRequest(request).toCompletableFuture();
    }

    JsonNode get(String url) throws IOException, InterruptedException {
        return json(await(send(new RequestBuilder("GET").setUrl(url))));
    }

    JsonNode post(String url, String body) throws IOException, InterruptedException {
        return json(
                await(
                        send(
                                new RequestBuilder("POST")
                                        .setUrl(url)
                                        .setHeader("Content-Type", "application/json")
                                        .setBody(body))));
    }

    int status(String url) throws InterruptedException {
        try {
            return await(send(new RequestBuilder("GET").setUrl(url))).getStatusCode();
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns the value of a metric without labels, 0 if it is absent. */
    double metric(String adminUrl, String name) throws IOException, InterruptedException {
        String text =
                await(send(new RequestBuilder("GET").setUrl(adminUrl + "/metrics")))
                        .getResponseBody();
        return text.lines()
                .filter(line -> line.startsWith(name + "_total ") || line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.split(" ")[1]))
                .findFirst()
                .orElse(0);
    }

    private static JsonNode json(Response response) throws IOException {
        if (response.getStatusCode() >= 300) {
            throw new IOException(
                    response.getUri()
                            + " answered "
                            + response.getStatusCode()
                            + ": "
                            + response.getResponseBody());
        }
        return JSON.readTree(response.getResponseBodyAsBytes());
    }

    private static Response await(CompletableFuture<Response> answer)
            throws IOException, InterruptedException {
        try {
            return answer.get();
        } catch (ExecutionException e) {
            throw new IOException(String.valueOf(e.getCause()), e);
        }
    }

    @Override
    public void close() throws IOException {
        mClient.close();
    }
}
