import java.io.IOException;
import java.math.BigInteger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service, as PROTOCOL describes it ("Controller nodes -> state service"). */
final class Store {
    private static final class Item {
        Map<String, Object> value;
        long version;
        Long lease;
    }

    private static final class Lease {
        long lifeMs;
        long endsAt;
    }

    private static final class Change {
        String key;
        Map<String, Object> value;
        long revision;
    }

    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_BODY = 64 * 1024;
    final String address;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final int valueBytes;
    private final int txnOps;
    private final Bucket requests;
    private final Bucket writes;
    private long revision = 1;
    private long nextLease = 7;
    private boolean out;

    /** How many transactions were refused for a limit, and for what. */
    final Map<String, Integer> refused = new TreeMap<>();

    Store(double rps, double writeRps, int valueKb, int txnOps) throws IOException {
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        requests = new Bucket(rps);
        writes = new Bucket(writeRps);
        address = Http.serve(this::handle);
        Thread expiry = new Thread(this::expire);
        expiry.setDaemon(true);
        expiry.start();
    }

    private static final class Bucket {
        private final double rate;
        private double level;
        private long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            level = rate;
        }

        boolean take(int n) {
            long now = System.nanoTime();
            level = Math.min(rate, level + (now - at) / 1e9 * rate);
            at = now;
            if (level < n) return false;
            level -= n;
            return true;
        }
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** Lease ids of all new leases are this and more. */
    synchronized void nextLeaseId(long id) {
        nextLease = id;
    }

    /** Raises the count of changes, as many more changes by others would. */
    synchronized void revisionAtLeast(long r) {
        revision = Math.max(revision, r);
    }

    /** Begins or ends an outage: everything gets 503, and leases have their full time again after it. */
    synchronized void setOut(boolean value) {
        out = value;
        if (!value) leases.values().forEach(l -> l.endsAt = nowMs() + l.lifeMs);
        notifyAll();
    }

    synchronized Map<String, Object> value(String key) {
        Item item = items.get(key);
        return item == null ? null : item.value;
    }

    synchronized List<String> keys(String prefix) {
        List<String> found = new ArrayList<>();
        for (String k : items.tailMap(prefix, true).keySet()) {
            if (!k.startsWith(prefix)) break;
            found.add(k);
        }
        return found;
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                long now = nowMs();
                if (!out) {
                    List<Long> ended = new ArrayList<>();
                    leases.forEach((id, l) -> {
                        if (l.endsAt < now) ended.add(id);
                    });
                    ended.forEach(this::endLease);
                }
            }
            try {
                Thread.sleep(50);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.forEach((k, item) -> {
            if (item.lease != null && item.lease == id) keys.add(k);
        });
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(k -> apply(k, null, null));
        notifyAll();
    }

    private void apply(String key, Map<String, Object> value, Long lease) {
        if (value == null) {
            if (items.remove(key) == null) return;
        } else {
            Item item = items.computeIfAbsent(key, k -> new Item());
            item.value = value;
            item.version = revision;
            item.lease = lease;
        }
        Change change = new Change();
        change.key = key;
        change.value = value;
        change.revision = revision;
        changes.add(change);
        while (changes.size() > KEPT_CHANGES) changes.removeFirst();
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body)
        throws InterruptedException {
        Thread.sleep(2);
        synchronized (this) {
            if (out) return Http.of(503, "error", "trouble");
            if (!requests.take(1)) return Http.of(429, "error", "rate");
            if (path.equals("/kv")) return list(query);
            if (path.startsWith("/kv/")) return get(path.substring(4));
            if (path.equals("/commit")) return commit(body);
            if (path.equals("/leases")) return grant(body);
            if (path.startsWith("/leases/")) return lease(method, path.substring(8));
            if (path.equals("/follow")) return follow(query);
            return Http.of(404);
        }
    }

    private static Object big(long n) {
        return n >= 0 ? (Object) n : new BigInteger(Long.toUnsignedString(n));
    }

    private Http.Answer get(String key) {
        Item item = items.get(key);
        if (item == null) return Http.of(404, "epoch", revision);
        Map<String, Object> fields = Cbor.map("path", key, "v", item.value, "stamp", item.version);
        if (item.lease != null) fields.put("holding", big(item.lease));
        return new Http.Answer(200, fields, "");
    }

    private Http.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.get("after");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> pairs = new ArrayList<>();
        int size = 0;
        boolean more = false;
        for (Map.Entry<String, Item> e : items.tailMap(prefix, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) break;
            if (after != null && e.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> pair =
                Cbor.map("path", e.getKey(), "v", e.getValue().value, "stamp", e.getValue().version);
            size += Cbor.jsonSize(pair);
            if (pairs.size() >= most || size > 512 * 1024 && !pairs.isEmpty()) {
                more = true;
                break;
            }
            pairs.add(pair);
        }
        return Http.of(200, "pairs", pairs, "more", more, "epoch", revision);
    }

    private Http.Answer refuse(String error) {
        refused.merge(error, 1, Integer::sum);
        return Http.of(400, "error", error);
    }

    @SuppressWarnings("unchecked")
    private Http.Answer commit(Map<String, Object> body) {
        List<Object> when = (List<Object>) body.getOrDefault("when", List.of());
        List<Object> then = (List<Object>) body.getOrDefault("writes", List.of());
        if (then.size() > txnOps) return refuse("more than " + txnOps + " writes");
        if (when.size() > txnOps * 4) return refuse("more than " + txnOps * 4 + " conditions");
        if (Cbor.jsonSize(body) > MAX_BODY) return refuse("transaction over 64 KiB");
        for (Object w : then) {
            Map<String, Object> write = (Map<String, Object>) w;
            if (write.get("put") != null && Cbor.jsonSize(write.get("v")) > valueBytes) {
                return refuse("value over " + valueBytes + " bytes: " + key((String) write.get("put")));
            }
        }
        if (!writes.take(then.size())) return Http.of(429, "error", "write rate");
        for (Object w : then) {
            Map<String, Object> write = (Map<String, Object>) w;
            Number lease = (Number) write.get("holding");
            if (lease != null && !leases.containsKey(lease.longValue())) {
                return Http.of(400, "error", "no such lease");
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Object c : when) {
            Map<String, Object> condition = (Map<String, Object>) c;
            Item item = items.get((String) condition.get("path"));
            long version = item == null ? 0 : item.version;
            if (((Number) condition.get("stamp")).longValue() != version) failed.add(condition.get("path"));
        }
        if (!failed.isEmpty()) return Http.of(409, "failed", failed, "epoch", revision);
        Set<String> keys = new HashSet<>();
        if (!then.isEmpty()) revision++;
        for (Object w : then) {
            Map<String, Object> write = (Map<String, Object>) w;
            String put = (String) write.get("put");
            String key = put != null ? put : (String) write.get("delete");
            if (!keys.add(key)) return refuse("key twice");
            Number lease = (Number) write.get("holding");
            apply(key, put == null ? null : (Map<String, Object>) write.get("v"),
                lease == null ? null : Long.valueOf(lease.longValue()));
        }
        notifyAll();
        return Http.of(200, "epoch", revision);
    }

    /** The kind of a key, without job ids. */
    private static String key(String key) {
        return key.startsWith("j/") ? key.substring(0, key.indexOf('/', 2)) : key;
    }

    private Http.Answer grant(Map<String, Object> body) {
        Lease lease = new Lease();
        lease.lifeMs = ((Number) body.get("lifeMs")).longValue();
        lease.endsAt = nowMs() + lease.lifeMs;
        long id = nextLease++;
        leases.put(id, lease);
        return Http.of(200, "holding", big(id));
    }

    private Http.Answer lease(String method, String rest) {
        long id = Long.parseUnsignedLong(rest.replace("/extend", ""));
        Lease lease = leases.get(id);
        if (lease == null) return Http.of(404);
        if (method.equals("DELETE")) endLease(id);
        else lease.endsAt = nowMs() + lease.lifeMs;
        return Http.of(200);
    }

    private Http.Answer follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = nowMs() + Long.parseLong(query.getOrDefault("holdMs", "0"));
        while (true) {
            if (changes.size() == KEPT_CHANGES && changes.peekFirst().revision > after + 1) {
                return Http.of(410);
            }
            List<Object> log = new ArrayList<>();
            if (!out) {
                for (Change c : changes) {
                    if (c.revision <= after || !c.key.startsWith(prefix)) continue;
                    log.add(c.value == null
                        ? Cbor.map("delete", c.key, "stamp", c.revision)
                        : Cbor.map("put", c.key, "v", c.value, "stamp", c.revision));
                }
            }
            long now = nowMs();
            if (!out && (!log.isEmpty() || now >= end)) return Http.of(200, "epoch", revision, "log", log);
            wait(out ? 200 : Math.max(1, end - now));
        }
    }
}
