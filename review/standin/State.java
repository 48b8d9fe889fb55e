import com.sun.net.httpserver.HttpServer;
import io.reedmast.wire.BodyCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The state service of PROTOCOL: keys, transactions, leases, watches and limits. */
final class State {
    private record Item(Map<String, Object> value, long stamp, long lease) {}
    private record Change(String path, Map<String, Object> value, long stamp) {}
    private static final class Lease { long lifeMs; long endsAt; }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final ArrayDeque<Change> log = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long epoch = 0, lastLease = 0, droppedThrough = 0;
    private double requests, writes;
    private long refilledAt = Platform.now();
    private final Platform platform;

    double rps, writeRps, valueKb;
    int txnOps;
    /** Transactions that get no answer and are carried out later, after newer ones; null: none. */
    volatile java.util.function.Predicate<Map<String, Object>> late = null;
    long lateMs = 0;
    final HttpServer server;

    State(Platform platform, double rps, double writeRps, double valueKb, int txnOps) throws Exception {
        this.platform = platform;
        this.rps = rps; this.writeRps = writeRps; this.valueKb = valueKb; this.txnOps = txnOps;
        requests = rps; writes = writeRps;
        server = Http.serve(this::handle);
        Platform.start("leases", () -> { while (true) { Thread.sleep(20); expire(); } });
    }

    String address() { return "127.0.0.1:" + server.getAddress().getPort(); }

    /** Lowers the limits without notice; what is stored stays. */
    synchronized void lower(double valueKb, int txnOps, double writeRps) {
        this.valueKb = valueKb; this.txnOps = txnOps; this.writeRps = writeRps;
    }

    synchronized Map<String, Object> value(String path) { Item i = items.get(path); return i == null ? null : i.value; }

    private void refill() {
        long now = Platform.now();
        double s = (now - refilledAt) / 1000.0;
        refilledAt = now;
        requests = Math.min(rps, requests + s * rps);
        writes = Math.min(writeRps, writes + s * writeRps);
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body) throws Exception {
        synchronized (this) {
            refill();
            if (requests < 1) return Http.answer(429, Map.of("error", "too many requests"));
            requests -= 1;
        }
        if (path.equals("/commit")) {
            if (late == null || !late.test(body)) return commit(body);
            platform.record("state service: no answer, to be carried out " + lateMs / 1000.0 + " s later: " + keys(body));
            platform.later(lateMs, () -> platform.record("state service: carried out late: " + keys(body) + ": " + commit(body)));
            Thread.sleep(5000);
            return null;
        }
        if (path.equals("/follow")) return follow(query);
        if (path.equals("/kv")) return list(query);
        if (path.startsWith("/kv/")) return get(path.substring(4));
        if (path.equals("/leases")) return grant(((Number) body.get("lifeMs")).longValue());
        if (path.startsWith("/leases/")) return lease(method, path.split("/"));
        return Http.answer(404, Map.of());
    }

    private synchronized Http.Answer get(String key) {
        Item item = items.get(key);
        if (item == null) return Http.answer(404, Map.of("epoch", epoch));
        return Http.answer(200, fields(key, item));
    }

    private static Map<String, Object> fields(String key, Item item) {
        Map<String, Object> f = new HashMap<>();
        f.put("path", key); f.put("v", item.value); f.put("stamp", item.stamp);
        if (item.lease != 0) f.put("holding", item.lease);
        return f;
    }

    private synchronized Http.Answer list(Map<String, String> query) {
        String prefix = query.get("prefix"), after = query.getOrDefault("after", "");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> pairs = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (var e : items.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) break;
            if (e.getKey().compareTo(after) <= 0) continue;
            int size = BodyCodec.INSTANCE.jsonSize(e.getValue().value) + e.getKey().length() + 60;
            if (pairs.size() >= most || (bytes + size > 512 * 1024 && !pairs.isEmpty())) { more = true; break; }
            bytes += size;
            pairs.add(fields(e.getKey(), e.getValue()));
        }
        return Http.answer(200, Map.of("pairs", pairs, "more", more, "epoch", epoch));
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer commit(Map<String, Object> body) {
        List<Map<String, Object>> when = (List<Map<String, Object>>) body.getOrDefault("when", List.of());
        List<Map<String, Object>> puts = (List<Map<String, Object>>) body.getOrDefault("writes", List.of());
        if (puts.size() > txnOps || when.size() > 4 * txnOps || BodyCodec.INSTANCE.jsonSize(body) > 64 * 1024) {
            return refuse("transaction too large", puts);
        }
        for (var w : puts) {
            if (w.get("put") == null) continue;
            if (BodyCodec.INSTANCE.jsonSize((Map<String, Object>) w.get("v")) > valueKb * 1024) return refuse("value too large", List.of(w));
            if (w.get("holding") != null && !leases.containsKey(((Number) w.get("holding")).longValue())) {
                return Http.answer(400, Map.of("error", "no such lease"));
            }
        }
        if (writes < puts.size()) return Http.answer(429, Map.of("error", "too many changes"));
        writes -= puts.size();
        List<Object> failed = new ArrayList<>();
        for (var c : when) {
            Item item = items.get((String) c.get("path"));
            if ((item == null ? 0 : item.stamp) != ((Number) c.get("stamp")).longValue()) failed.add(c.get("path"));
        }
        if (!failed.isEmpty()) return Http.answer(409, Map.of("failed", failed, "epoch", epoch));
        if (!puts.isEmpty()) {
            epoch++;
            for (var w : puts) {
                if (w.get("put") != null) {
                    long lease = w.get("holding") == null ? 0 : ((Number) w.get("holding")).longValue();
                    put((String) w.get("put"), (Map<String, Object>) w.get("v"), lease);
                } else delete((String) w.get("delete"));
            }
            notifyAll();
        }
        return Http.answer(200, Map.of("epoch", epoch));
    }

    /** The keys that a transaction writes. */
    @SuppressWarnings("unchecked")
    static List<String> keys(Map<String, Object> body) {
        List<String> keys = new ArrayList<>();
        for (var w : (List<Map<String, Object>>) body.getOrDefault("writes", List.of())) keys.add((String) w.getOrDefault("put", w.get("delete")));
        return keys;
    }

    private Http.Answer refuse(String error, List<Map<String, Object>> writes) {
        String keys = "";
        for (var w : writes) keys += " " + (w.get("put") != null
            ? w.get("put") + " (" + BodyCodec.INSTANCE.jsonSize(cast(w.get("v"))) + " bytes)" : "delete " + w.get("delete"));
        platform.record("state service: 400 " + error + ":" + keys);
        return Http.answer(400, Map.of("error", error));
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> cast(Object o) { return (Map<String, Object>) o; }

    private void put(String path, Map<String, Object> value, long lease) {
        items.put(path, new Item(value, epoch, lease));
        append(new Change(path, value, epoch));
    }

    private void delete(String path) {
        if (items.remove(path) != null) append(new Change(path, null, epoch));
    }

    private void append(Change change) {
        log.add(change);
        if (log.size() > 10_000) droppedThrough = log.poll().stamp;
    }

    private Http.Answer follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.get("prefix");
        long after = Long.parseLong(query.get("after"));
        long until = Platform.now() + Long.parseLong(query.getOrDefault("holdMs", "0"));
        synchronized (this) {
            while (true) {
                if (after < droppedThrough) return Http.answer(410, Map.of());
                List<Object> changes = new ArrayList<>();
                var it = log.descendingIterator();
                ArrayDeque<Object> reversed = new ArrayDeque<>();
                while (it.hasNext()) {
                    Change c = it.next();
                    if (c.stamp <= after) break;
                    if (!c.path.startsWith(prefix)) continue;
                    reversed.push(c.value == null ? Map.of("delete", c.path, "stamp", c.stamp)
                        : Map.of("put", c.path, "v", c.value, "stamp", c.stamp));
                }
                changes.addAll(reversed);
                long left = until - Platform.now();
                if (!changes.isEmpty() || left <= 0) return Http.answer(200, Map.of("epoch", epoch, "log", changes));
                wait(left);
            }
        }
    }

    private synchronized Http.Answer grant(long lifeMs) {
        Lease lease = new Lease();
        lease.lifeMs = lifeMs; lease.endsAt = Platform.now() + lifeMs;
        leases.put(++lastLease, lease);
        return Http.answer(200, Map.of("holding", lastLease));
    }

    private synchronized Http.Answer lease(String method, String[] parts) {
        long id = Long.parseLong(parts[2]);
        Lease lease = leases.get(id);
        if (lease == null) return Http.answer(404, Map.of());
        if (method.equals("DELETE")) end(id); else lease.endsAt = Platform.now() + lease.lifeMs;
        return Http.answer(200, Map.of());
    }

    private synchronized void expire() {
        for (Long id : new ArrayList<>(leases.keySet())) if (leases.get(id).endsAt < Platform.now()) end(id);
    }

    private void end(long id) {
        leases.remove(id);
        List<String> paths = new ArrayList<>();
        items.forEach((path, item) -> { if (item.lease == id) paths.add(path); });
        if (paths.isEmpty()) return;
        epoch++;
        paths.forEach(this::delete);
        notifyAll();
    }
}
