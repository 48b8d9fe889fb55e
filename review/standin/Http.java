import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.reedmast.wire.BodyCodec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies, for the stand-ins. Every address is on the loopback interface. */
final class Http {
    /** An answer; the status is 0 if there was none. */
    record Answer(int status, Map<String, Object> body, String header) {
        @Override public String toString() { return status == 0 ? "no answer (" + header + ")" : status + " " + body; }
    }

    interface Handler { Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body) throws Exception; }

    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.idleInterval", "3600");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "5000");
    }

    static Answer answer(int status, Map<String, Object> body) { return new Answer(status, body, null); }

    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(Executors.newCachedThreadPool(Platform::daemon));
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    private static void respond(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Map<String, Object> body = bytes.length == 0 ? Map.of() : BodyCodec.INSTANCE.readCbor(bytes);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getQuery();
            if (raw != null) for (String part : raw.split("&")) {
                int eq = part.indexOf('=');
                if (eq > 0) query.put(part.substring(0, eq), part.substring(eq + 1));
            }
            Answer answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
            if (answer == null) { exchange.close(); return; }
            byte[] out = BodyCodec.INSTANCE.writeCbor(answer.body());
            exchange.sendResponseHeaders(answer.status(), out.length);
            exchange.getResponseBody().write(out);
            exchange.close();
        } catch (IOException e) {
            exchange.close();
        } catch (Exception e) {
            e.printStackTrace();
            exchange.close();
        }
    }

    static Answer call(String method, String address, String path, Map<String, Object> body, int connectMs, int readMs) {
        HttpURLConnection c = null;
        try {
            c = (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
            c.setConnectTimeout(connectMs);
            c.setReadTimeout(readMs);
            c.setRequestMethod(method);
            if (!method.equals("GET")) {
                byte[] bytes = body == null ? new byte[0] : BodyCodec.INSTANCE.writeCbor(body);
                c.setDoOutput(true);
                c.setFixedLengthStreamingMode(bytes.length);
                c.connect();
                try (var out = c.getOutputStream()) { out.write(bytes); }
            }
            int status = c.getResponseCode();
            InputStream in = status >= 400 ? c.getErrorStream() : c.getInputStream();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            if (in != null) try (in) { in.transferTo(out); }
            Map<String, Object> fields = Map.of();
            if (out.size() > 0) fields = BodyCodec.INSTANCE.readCbor(out.toByteArray());
            return new Answer(status, fields, c.getHeaderField("Retry-After"));
        } catch (Exception e) {
            if (c != null) c.disconnect();
            return new Answer(0, Map.of(), e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }
}
