import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies, on loopback addresses. */
final class Http {
    private Http() {}

    /** An answer; status 0: none. */
    static final class Answer {
        final int status;
        final Map<String, Object> body;
        final String note;

        Answer(int status, Map<String, Object> body, String note) {
            this.status = status;
            this.body = body;
            this.note = note;
        }

        @Override
        public String toString() {
            String text = Cbor.json(body);
            return status + " " + (text.length() > 300 ? text.substring(0, 300) + "..." : text) + note;
        }
    }

    /** One request on a connection that is closed after it. */
    static Answer call(String method, String address, String path, Object body, int timeoutMs) {
        return callRaw(method, address, path, body == null ? null : Cbor.write(body), timeoutMs);
    }

    static Answer callRaw(String method, String address, String path, byte[] body, int timeoutMs) {
        try {
            HttpURLConnection c =
                (HttpURLConnection) URI.create("http://" + address + path).toURL().openConnection();
            c.setRequestMethod(method);
            c.setConnectTimeout(timeoutMs);
            c.setReadTimeout(timeoutMs);
            c.setInstanceFollowRedirects(false);
            c.setUseCaches(false);
            c.setRequestProperty("Connection", "close");
            if (body != null || method.equals("POST")) {
                byte[] bytes = body == null ? new byte[0] : body;
                c.setDoOutput(true);
                c.setRequestProperty("Content-Type", "application/cbor");
                c.setFixedLengthStreamingMode(bytes.length);
                try (OutputStream out = c.getOutputStream()) {
                    out.write(bytes);
                }
            }
            int status = c.getResponseCode();
            InputStream in = status >= 400 ? c.getErrorStream() : c.getInputStream();
            byte[] bytes = in == null ? new byte[0] : in.readAllBytes();
            c.disconnect();
            String retry = c.getHeaderField("Retry-After");
            return new Answer(status, Cbor.read(bytes), retry == null ? "" : " Retry-After: " + retry);
        } catch (IOException | IllegalArgumentException e) {
            return new Answer(0, Cbor.map(), "no answer: " + e);
        }
    }

    /** What a stand-in answers to one request. */
    interface Handler {
        /** Null: no answer at all. */
        Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body)
            throws InterruptedException;
    }

    /** Serves on a free loopback port; returns the address. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        }));
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) throws IOException {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    String[] kv = part.split("=", 2);
                    query.put(kv[0], java.net.URLDecoder.decode(kv.length > 1 ? kv[1] : "", "UTF-8"));
                }
            }
            Answer a;
            try {
                a = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query,
                    Cbor.read(bytes));
            } catch (IllegalArgumentException | ClassCastException | NullPointerException e) {
                a = new Answer(400, Cbor.map("error", "malformed: " + e), "");
            }
            if (a == null) {
                exchange.close();
                return;
            }
            byte[] out = Cbor.write(a.body);
            exchange.getResponseHeaders().set("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(a.status, out.length);
            exchange.getResponseBody().write(out);
            exchange.close();
        } catch (InterruptedException e) {
            exchange.close();
        }
    }

    static Answer of(int status, Object... pairs) {
        return new Answer(status, Cbor.map(pairs), "");
    }
}
