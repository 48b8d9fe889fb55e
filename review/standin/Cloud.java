import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL: machine types, rentals, returns and a list that lags. */
final class Cloud {
    record Type(String label, double cpus, double memGb, double pullGbPerS, double hourly, double lowPrice, double startupS,
                List<String> yards, int capacity) {}
    private static final class Machine { Worker worker; String type, yard; boolean spot; long rentedAt, upAt, goneAt; }

    private final Platform platform;
    private final Map<String, Type> types = new LinkedHashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<String>> charters = new HashMap<>();
    private final double rps, lagS;
    private double requests;
    private long refilledAt = Platform.now();
    /** Zones in which nothing more can be rented. */
    final java.util.Set<String> soldOut = new java.util.HashSet<>();
    /** How many of the machines rented next fail every task that they start, and until when. */
    int sickMachines = 0;
    long sickUntil = 0;
    final HttpServer server;

    Cloud(Platform platform, double rps, double lagS, List<Type> types) throws Exception {
        this.platform = platform;
        this.rps = rps; this.lagS = lagS; requests = 2 * rps;
        for (Type t : types) this.types.put(t.label, t);
        server = Http.serve(this::handle);
    }

    String address() { return "127.0.0.1:" + server.getAddress().getPort(); }

    private Http.Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body) throws Exception {
        synchronized (this) {
            long now = Platform.now();
            requests = Math.min(2 * rps, requests + (now - refilledAt) / 1000.0 * rps);
            refilledAt = now;
            if (requests < 1) return Http.answer(429, Map.of("error", "too many requests"));
            requests -= 1;
        }
        if (path.equals("/flavors")) return flavors();
        if (path.equals("/machines/return")) return giveBack(body);
        if (path.equals("/machines") && method.equals("POST")) return rent(body);
        if (path.equals("/machines")) return list(query);
        return Http.answer(404, Map.of());
    }

    private Http.Answer flavors() {
        List<Object> builds = new ArrayList<>();
        for (Type t : types.values()) {
            Map<String, Object> f = new HashMap<>();
            f.put("label", t.label); f.put("cpus", t.cpus); f.put("gpus", 0.0); f.put("memGb", t.memGb);
            f.put("localGb", 70.0); f.put("pullGbPerS", t.pullGbPerS); f.put("hourly", t.hourly); f.put("lowPrice", t.lowPrice);
            f.put("startupS", t.startupS); f.put("yards", t.yards);
            builds.add(f);
        }
        return Http.answer(200, Map.of("builds", builds));
    }

    private synchronized Http.Answer rent(Map<String, Object> body) throws Exception {
        String charter = (String) body.get("charter");
        List<String> known = charters.get(charter);
        if (known != null) return Http.answer(200, Map.of("hosts", known));
        Type type = types.get(body.get("build"));
        if (type == null) return Http.answer(400, Map.of("error", "no such build"));
        int used = 0;
        for (Machine m : machines.values()) if (m.goneAt == 0 && m.type.equals(type.label)) used++;
        int count = Math.min(((Number) body.get("count")).intValue(), type.capacity - used);
        if (count <= 0 || soldOut.contains(body.get("yard"))) {
            platform.record("cloud: rental of " + body.get("count") + " " + type.label + " in " + body.get("yard") + ": 503 no capacity");
            return Http.answer(503, Map.of("error", "no capacity"));
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine m = new Machine();
            String name = String.format("host-%06d", machines.size() + 1);
            m.type = type.label; m.yard = (String) body.get("yard"); m.spot = Boolean.TRUE.equals(body.get("driftwood"));
            m.rentedAt = Platform.now();
            m.upAt = m.rentedAt + (long) (type.startupS * 1000 * (0.6 + 0.4 * Math.random()));
            m.worker = new Worker(platform, name, type, m.yard, m.spot);
            if (sickMachines > 0) { sickMachines--; m.worker.sickUntil = sickUntil; platform.record(name + ": will fail every task that it starts"); }
            machines.put(name, m);
            names.add(name);
            platform.later(m.upAt - m.rentedAt, () -> { if (m.goneAt == 0) m.worker.boot(); });
        }
        charters.put(charter, names);
        platform.record("cloud: rented " + names + ", " + type.label + " in " + body.get("yard"));
        return Http.answer(200, Map.of("hosts", names));
    }

    private Http.Answer giveBack(Map<String, Object> body) {
        List<Worker> gone = new ArrayList<>();
        synchronized (this) {
            for (Object name : (List<?>) body.get("hosts")) {
                Machine m = machines.get(name);
                if (m == null || m.goneAt != 0) continue;
                m.goneAt = Platform.now();
                gone.add(m.worker);
            }
        }
        gone.forEach(Worker::powerOff);
        platform.record("cloud: returned " + body.get("hosts"));
        return Http.answer(200, Map.of());
    }

    private synchronized Http.Answer list(Map<String, String> query) {
        long at = Platform.now() - (long) (lagS * 1000);
        String after = query.getOrDefault("after", "");
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
        List<Object> hosts = new ArrayList<>();
        boolean more = false;
        for (var e : machines.tailMap(after, false).entrySet()) {
            Machine m = e.getValue();
            if (m.rentedAt > at || (m.goneAt != 0 && m.goneAt <= at)) continue;
            if (hosts.size() >= most) { more = true; break; }
            Map<String, Object> f = new HashMap<>();
            f.put("ref", e.getKey()); f.put("addr", m.worker.address()); f.put("build", m.type); f.put("yard", m.yard);
            f.put("driftwood", m.spot); f.put("stage", m.upAt > at ? "booting" : "running"); f.put("ageS", (at - m.rentedAt) / 1000.0);
            hosts.add(f);
        }
        return Http.answer(200, Map.of("hosts", hosts, "more", more));
    }

    /** Machines stop with all that is on them; the list shows them as running for another 30 s. */
    void die(Worker worker) {
        platform.record(worker.name + ": stops with all that is on it");
        worker.powerOff();
    }

    synchronized int rented() { return machines.size(); }

    /** The machines that are rented and up, with their workers. */
    synchronized List<Worker> up() {
        List<Worker> up = new ArrayList<>();
        for (Machine m : machines.values()) if (m.goneAt == 0 && m.worker.isUp()) up.add(m.worker);
        return up;
    }
}
