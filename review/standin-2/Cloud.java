import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud, as PROTOCOL describes it ("Controller nodes -> cloud"). */
final class Cloud {
    /** A machine type with the number of machines of it that may be rented, and the boot time of those. */
    static final class Flavor {
        final String label;
        final double cpus;
        final double memGb;
        final double localGb;
        final double pullGbPerS;
        final double hourly;
        final double lowPrice;
        final double startupS;
        int capacity;
        double bootS;

        Flavor(String label, double cpus, double memGb, double localGb, double pullGbPerS, double hourly,
            double lowPrice, double startupS, int capacity, double bootS) {
            this.label = label;
            this.cpus = cpus;
            this.memGb = memGb;
            this.localGb = localGb;
            this.pullGbPerS = pullGbPerS;
            this.hourly = hourly;
            this.lowPrice = lowPrice;
            this.startupS = startupS;
            this.capacity = capacity;
            this.bootS = bootS;
        }
    }

    /** Makes the worker of a machine that has booted. */
    interface Boot {
        Worker boot(String host, Flavor flavor, String zone, boolean spot) throws IOException;
    }

    private static final class Machine {
        Flavor flavor;
        String zone;
        boolean spot;
        long rentedAt;
        Worker worker;
    }

    final String address;
    private final Map<String, Flavor> flavors = new TreeMap<>();
    private final List<String> zones;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, List<Object>> charters = new HashMap<>();
    private final ArrayDeque<Object[]> lists = new ArrayDeque<>();
    private final Boot boot;
    private final double rps;
    private final long lagMs;
    private int named;
    private double level;
    private long levelAt = nowMs();
    final List<Worker> workers = new ArrayList<>();
    volatile int rentals;

    /** Whether the cloud has no machines to rent. */
    volatile boolean soldOut;

    Cloud(List<Flavor> offered, List<String> zones, double rps, double listLagS, Boot boot) throws IOException {
        offered.forEach(f -> flavors.put(f.label, f));
        this.zones = zones;
        this.boot = boot;
        this.rps = rps;
        level = 2 * rps;
        lagMs = (long) (listLagS * 1000);
        address = Http.serve(this::handle);
        Thread t = new Thread(this::run);
        t.setDaemon(true);
        t.start();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** From now on the cloud has [count] more machines of a type to rent. */
    synchronized void limit(String label, int count) {
        flavors.get(label).capacity = count;
        Record.write("cloud: %d machines of type %s left", count, label);
    }

    /** How many more machines of a type the cloud has to rent. */
    synchronized int left(String label) {
        return flavors.get(label).capacity;
    }

    /** How many machines are rented now. */
    synchronized int machineCount() {
        return machines.size();
    }

    /** A machine that is up already. */
    synchronized Worker up(String label, String zone, boolean spot) throws IOException {
        Machine m = rent(flavors.get(label), zone, spot);
        m.rentedAt = nowMs() - 600_000;
        m.flavor.capacity--;
        m.worker = boot.boot(machines.lastKey(), m.flavor, zone, spot);
        workers.add(m.worker);
        return m.worker;
    }

    private Machine rent(Flavor flavor, String zone, boolean spot) {
        Machine m = new Machine();
        m.flavor = flavor;
        m.zone = zone;
        m.spot = spot;
        m.rentedAt = nowMs();
        machines.put(String.format("host-%06d", ++named), m);
        return m;
    }

    private void run() {
        while (true) {
            try {
                Thread.sleep(100);
                synchronized (this) {
                    long now = nowMs();
                    for (Map.Entry<String, Machine> e : machines.entrySet()) {
                        Machine m = e.getValue();
                        if (m.worker == null && now - m.rentedAt >= m.flavor.bootS * 1000) {
                            m.worker = boot.boot(e.getKey(), m.flavor, m.zone, m.spot);
                            workers.add(m.worker);
                            Record.write("cloud: %s (%s) is up", e.getKey(), m.flavor.label);
                        }
                    }
                    if (lists.isEmpty() || now - (Long) lists.peekLast()[0] >= 500) {
                        lists.add(new Object[] {now, snapshot(now)});
                    }
                    while (lists.size() > 1 && now - (Long) lists.peekFirst()[0] > lagMs + 600) lists.removeFirst();
                }
            } catch (InterruptedException | IOException e) {
                Record.write("cloud: %s", e);
            }
        }
    }

    private List<Object> snapshot(long now) {
        List<Object> all = new ArrayList<>();
        machines.forEach((host, m) -> all.add(Cbor.map("ref", host, "addr",
            m.worker == null ? null : m.worker.address, "build", m.flavor.label, "yard", m.zone, "driftwood", m.spot,
            "stage", m.worker == null ? "booting" : "running", "ageS", (now - m.rentedAt) / 1000.0)));
        return all;
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body)
        throws InterruptedException {
        synchronized (this) {
            long now = nowMs();
            level = Math.min(2 * rps, level + (now - levelAt) / 1000.0 * rps);
            levelAt = now;
            if (level < 1) return Http.of(429, "error", "rate");
            level--;
        }
        Thread.sleep(100);
        synchronized (this) {
            switch (path) {
                case "/flavors": {
                    List<Object> builds = new ArrayList<>();
                    flavors.values().forEach(f -> builds.add(Cbor.map("label", f.label, "cpus", f.cpus, "gpus", 0.0,
                        "memGb", f.memGb, "localGb", f.localGb, "pullGbPerS", f.pullGbPerS, "hourly", f.hourly,
                        "lowPrice", f.lowPrice, "startupS", f.startupS, "yards", zones)));
                    return Http.of(200, "builds", builds);
                }
                case "/machines":
                    return method.equals("POST") ? rent(body) : list(query);
                case "/machines/return": {
                    Record.write("cloud: return %s", Cbor.json(body.get("hosts")));
                    for (Object host : (List<?>) body.get("hosts")) {
                        Machine m = machines.remove((String) host);
                        if (m == null) continue;
                        m.flavor.capacity++;
                        if (m.worker != null) m.worker.remove();
                    }
                    return Http.of(200);
                }
                default:
                    return Http.of(404);
            }
        }
    }

    private Http.Answer rent(Map<String, Object> body) {
        String charter = (String) body.get("charter");
        List<Object> known = charters.get(charter);
        if (known != null) return Http.of(200, "hosts", known);
        Flavor flavor = flavors.get((String) body.get("build"));
        int count = ((Number) body.get("count")).intValue();
        if (flavor == null || count < 1 || count > 50 || !zones.contains(body.get("yard"))) return Http.of(400);
        if (soldOut || flavor.capacity <= 0) {
            Record.write("cloud: rent %s: no capacity", Cbor.json(body));
            return Http.of(503, "error", "no capacity");
        }
        List<Object> hosts = new ArrayList<>();
        for (; count > 0 && flavor.capacity > 0; count--, flavor.capacity--) {
            rent(flavor, (String) body.get("yard"), Boolean.TRUE.equals(body.get("driftwood")));
            hosts.add(machines.lastKey());
        }
        rentals++;
        charters.put(charter, hosts);
        Record.write("cloud: rent %s: %s", Cbor.json(body), Cbor.json(hosts));
        return Http.of(200, "hosts", hosts);
    }

    private Http.Answer list(Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        int most = Math.min(500, Integer.parseInt(query.getOrDefault("most", "500")));
        List<?> all = lists.isEmpty() ? List.of() : (List<?>) lists.peekFirst()[1];
        List<Object> found = new ArrayList<>();
        for (Object m : all) {
            if (((String) ((Map<?, ?>) m).get("ref")).compareTo(after) > 0) found.add(m);
        }
        boolean more = found.size() > most;
        return Http.of(200, "hosts", more ? found.subList(0, most) : found, "more", more);
    }
}
