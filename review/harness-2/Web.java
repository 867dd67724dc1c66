import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP/1.1 for the stand-ins and the clients. */
final class Web {
    static {
        // Headers and body go out as separate writes.
        System.setProperty("sun.net.httpserver.nodelay", "true");
    }

    private Web() {}

    static HttpServer listen(String host, int port, Map<String, HttpHandler> handlers)
            throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(host, port), 512);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        handlers.forEach(server::createContext);
        server.start();
        return server;
    }

    static Map<String, String> query(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        String raw = call.getRequestURI().getRawQuery();
        for (String part : raw == null ? new String[0] : raw.split("&")) {
            String[] words = part.split("=", 2);
            query.put(words[0], URLDecoder.decode(words[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    static void reply(HttpExchange call, int status, byte[] body) throws IOException {
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            call.getResponseBody().write(body);
        }
        call.close();
    }

    static void reply(HttpExchange call, int status, String body) throws IOException {
        reply(call, status, body.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * An answer to a client.
     *
     * @param status the status; 0 if the connection ended or nothing came in time
     * @param sentMillis when the last byte of the request was sent
     */
    record Answer(int status, String body, long sentMillis, long endMillis) {
        @Override
        public String toString() {
            return status + " " + body + " after " + (endMillis - sentMillis) + " ms";
        }
    }

    /** A client's connection. */
    static final class Connection implements AutoCloseable {
        private static final int TIMEOUT_MILLIS = 3_000;
        private final Socket mSocket = new Socket();
        private final InputStream mIn;
        private boolean mOpen = true;

        Connection(String address) throws IOException {
            int colon = address.indexOf(':');
            mSocket.setTcpNoDelay(true);
            mSocket.connect(
                    new InetSocketAddress(
                            address.substring(0, colon),
                            Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            mSocket.setSoTimeout(TIMEOUT_MILLIS);
            mIn = new BufferedInputStream(mSocket.getInputStream());
        }

        /** Whether the server has kept the connection open after the last answer. */
        boolean isOpen() {
            return mOpen;
        }

        Answer call(String method, String host, String path, String body) {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host
                            + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: "
                            + TIMEOUT_MILLIS + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
            long sent = Log.millis();
            try {
                ByteArrayOutputStream request = new ByteArrayOutputStream();
                request.writeBytes(head.getBytes(StandardCharsets.UTF_8));
                request.writeBytes(bytes);
                mSocket.getOutputStream().write(request.toByteArray());
                mSocket.getOutputStream().flush();
                sent = Log.millis();
                String status = line();
                int length = 0;
                for (String header = line(); !header.isEmpty(); header = line()) {
                    String lower = header.toLowerCase(Locale.ROOT);
                    if (lower.startsWith("content-length:")) {
                        length = Integer.parseInt(lower.substring(15).trim());
                    } else if (lower.equals("connection: close")) {
                        mOpen = false;
                    }
                }
                String text = new String(mIn.readNBytes(length), StandardCharsets.UTF_8);
                return new Answer(
                        Integer.parseInt(status.split(" ")[1]), text, sent, Log.millis());
            } catch (IOException e) {
                mOpen = false;
                return new Answer(0, e.toString(), sent, Log.millis());
            }
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = mIn.read(); c != '\n'; c = mIn.read()) {
                if (c < 0) {
                    throw new IOException("the connection has ended");
                }
                if (c != '\r') {
                    line.append((char) c);
                }
            }
            return line.toString();
        }

        @Override
        public void close() {
            try {
                mSocket.close();
            } catch (IOException e) {
                // Nothing is read from it any more.
            }
        }
    }

    /** Sends one request on a connection of its own. */
    static Answer call(String method, String address, String host, String path, String body) {
        try (Connection connection = new Connection(address)) {
            return connection.call(method, host, path, body);
        } catch (IOException e) {
            return new Answer(0, e.toString(), Log.millis(), Log.millis());
        }
    }
}
