import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The worker of one machine, as PROTOCOL describes it ("Workers -> controller nodes" and back). */
final class Worker {
    private static final class Task {
        String piece;
        long attempt;
        String stage;
        String cause;
        boolean stored;
        long imageAt;
        long endsAt;
    }

    final String host;
    final String address;
    final Cloud.Flavor flavor;
    final boolean spot;
    private final String zone;
    private final Jobs jobs;
    private final List<String> nodes;
    private final Map<String, String> addressOf;
    private final double reportS;
    private final long leaseMs;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Long> images = new LinkedHashMap<>();
    private long tenure = 1;
    private long tally;
    private long baton;
    private long answeredSentAt;
    private int node;
    private volatile boolean gone;
    volatile int leasesLost;
    volatile int largestReport;
    volatile int refusedWith413;

    Worker(String host, Cloud.Flavor flavor, String zone, boolean spot, Jobs jobs, Map<String, String> addressOf,
        double reportS, double leaseS) throws IOException {
        this.host = host;
        this.flavor = flavor;
        this.zone = zone;
        this.spot = spot;
        this.jobs = jobs;
        this.addressOf = addressOf;
        this.nodes = new ArrayList<>(addressOf.keySet());
        this.reportS = reportS;
        this.leaseMs = (long) (leaseS * 1000);
        random = new Random(host.hashCode());
        node = random.nextInt(nodes.size());
        address = Http.serve(this::handle);
        answeredSentAt = nowMs();
        start("report", this::reportLoop);
        start("tick", this::tickLoop);
    }

    private static void start(String name, Runnable body) {
        Thread t = new Thread(body, name);
        t.setDaemon(true);
        t.start();
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }

    /** The machine is gone with all that was on it. */
    synchronized void remove() {
        if (gone) return;
        gone = true;
        tasks.values().forEach(this::left);
        tasks.clear();
        Record.write("%s: machine gone", host);
    }

    private void left(Task t) {
        if (jobs.machineOf.remove(t.piece, host)) {
            Record.write("%s: %s attempt %d no longer on the machine", host, t.piece, t.attempt);
        }
    }

    private void tickLoop() {
        while (!gone) {
            tick();
            sleep(20);
        }
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void tick() {
        if (gone) return;
        long now = nowMs();
        if (now - answeredSentAt > leaseMs) {
            leasesLost++;
            Record.write("%s: lease expired, %d tasks killed, session %d begins", host, tasks.size(), tenure + 1);
            tasks.values().forEach(this::left);
            tasks.clear();
            tenure++;
            answeredSentAt = now;
        }
        for (Task t : tasks.values()) {
            if (t.stage.equals("fetching") && now >= t.imageAt) begin(t, now);
            if (t.stage.equals("running") && t.endsAt != 0 && now >= t.endsAt) end(t, "done");
            if (t.stage.equals("saving") && now >= t.endsAt) end(t, "halted");
        }
    }

    private void begin(Task t, long now) {
        images.put((String) jobs.specs.get(job(t.piece)).get("bundle"), now);
        t.stage = "running";
        jobs.starts.merge(t.piece, 1, Integer::sum);
        String other = jobs.machineOf.put(t.piece, host);
        if (other != null && !other.equals(host)) Record.write("%s: %s is on %s too", host, t.piece, other);
        Record.write("%s: %s attempt %d starts", host, t.piece, t.attempt);
        boolean service = "service".equals(jobs.specs.get(job(t.piece)).get("shape"));
        t.endsAt = service ? 0 : now + (long) (jobs.runS.getOrDefault(job(t.piece), 1.0) * 1000);
        if (jobs.done.contains(t.piece)) end(t, "done");
    }

    private void end(Task t, String cause) {
        t.stage = "ended";
        t.cause = cause;
        if (cause.equals("done")) jobs.done.add(t.piece);
        Record.write("%s: %s attempt %d ends: %s", host, t.piece, t.attempt, cause);
        jobs.machineOf.remove(t.piece, host);
    }

    private static String job(String piece) {
        return piece.substring(0, piece.lastIndexOf('/'));
    }

    private synchronized Map<String, Object> report() {
        tally++;
        List<Object> pieces = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> p = Cbor.map("piece", t.piece, "try", t.attempt, "stage", t.stage);
            if (t.cause != null) p.put("cause", t.cause);
            if (t.stored) p.put("stored", true);
            pieces.add(p);
        }
        return Cbor.map("host", host, "addr", address, "build", flavor.label, "yard", zone, "driftwood", spot,
            "tenure", tenure, "tally", tally, "baton", baton, "warningS", null, "pieces", pieces);
    }

    private void reportLoop() {
        while (!gone) {
            long wait = (long) (reportS * (750 + random.nextInt(500)));
            long sentAt;
            long session;
            Map<String, Object> report;
            synchronized (this) {
                sentAt = nowMs();
                session = tenure;
                report = report();
            }
            byte[] bytes = Cbor.write(report);
            int size = Cbor.jsonSize(report);
            if (size > largestReport) largestReport = size;
            String label = nodes.get(node);
            Http.Answer a = Http.callRaw("POST", addressOf.get(label), "/checkin", bytes, 4000);
            if (gone) return;
            if (a.status == 413) refusedWith413++;
            int pieces = ((List<?>) report.get("pieces")).size();
            if (a.status == 200) {
                accept(a, sentAt, session, label);
            } else {
                Record.write("%s: report with %d tasks, %d bytes as JSON and %d as CBOR, to %s: %s", host, pieces, size,
                    bytes.length, label, a);
                Object steward = a.body.get("steward");
                int named = steward == null ? -1 : nodes.indexOf(steward);
                if (a.status == 421 && named >= 0 && named != node) {
                    node = named;
                    wait = 100;
                } else {
                    node = (node + 1) % nodes.size();
                    wait = 1000;
                }
            }
            sleep(wait);
        }
    }

    private synchronized void accept(Http.Answer a, long sentAt, long session, String label) {
        Object token = a.body.get("baton");
        if (gone || tenure != session || !(token instanceof Long) || (Long) token < baton) return;
        if (nowMs() - sentAt > 4000) return;
        baton = (Long) token;
        answeredSentAt = sentAt;
        execute((List<?>) a.body.getOrDefault("orders", List.of()), "answer of " + label);
    }

    private Http.Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body) {
        synchronized (this) {
            if (gone) return null;
            if (path.equals("/status")) return new Http.Answer(200, report(), "");
            if (!path.equals("/do")) return Http.of(404);
            if (!(body.get("baton") instanceof Long) || !(body.get("tenure") instanceof Long)) return Http.of(400);
            long token = (Long) body.get("baton");
            if (token < baton || (Long) body.get("tenure") != tenure) return new Http.Answer(409, report(), "");
            baton = token;
            execute((List<?>) body.getOrDefault("orders", List.of()), "direct call");
            return new Http.Answer(200, report(), "");
        }
    }

    @SuppressWarnings("unchecked")
    private void execute(List<?> orders, String from) {
        for (Object o : orders) {
            Map<String, Object> order = (Map<String, Object>) o;
            String piece = (String) order.get("piece");
            long attempt = ((Number) order.get("try")).longValue();
            Record.write("%s: %s: %s %s attempt %d", host, from, order.get("verb"), piece, attempt);
            Task t = tasks.get(piece + "#" + attempt);
            switch ((String) order.get("verb")) {
                case "launch":
                    if (t == null) launch(piece, attempt);
                    break;
                case "stop":
                    if (t != null) stop(t, ((Number) order.getOrDefault("mercyS", 0L)).doubleValue());
                    break;
                case "forget":
                    if (t != null && t.stage.equals("ended")) tasks.remove(piece + "#" + attempt);
                    break;
                default:
            }
        }
    }

    private static double amount(Map<String, Object> spec, String name) {
        Object v = spec.get(name);
        return v == null ? 0 : ((Number) v).doubleValue();
    }

    private void launch(String piece, long attempt) {
        Task t = new Task();
        t.piece = piece;
        t.attempt = attempt;
        t.stage = "fetching";
        Map<String, Object> spec = jobs.specs.get(job(piece));
        tasks.put(piece + "#" + attempt, t);
        if (spec == null) {
            end(t, "unknown");
            return;
        }
        double cpus = 0;
        double mem = 0;
        for (Task other : tasks.values()) {
            if (other.stage.equals("ended")) continue;
            if (other != t && other.piece.equals(piece)) {
                end(t, "busy");
                return;
            }
            Map<String, Object> s = jobs.specs.get(job(other.piece));
            cpus += amount(s, "cpus");
            mem += amount(s, "memGb");
        }
        if (cpus > flavor.cpus + 1e-6 || mem > flavor.memGb + 1e-6) {
            end(t, "no_room");
            return;
        }
        boolean cached = images.containsKey((String) spec.get("bundle"));
        t.imageAt = nowMs() + (cached ? 0 : (long) (amount(spec, "sizeGb") / flavor.pullGbPerS * 1000));
        if (t.imageAt <= nowMs()) begin(t, nowMs());
    }

    private void stop(Task t, double mercyS) {
        if (t.stage.equals("ended")) return;
        Map<String, Object> spec = jobs.specs.get(job(t.piece));
        double stow = amount(spec, "stowS");
        if (t.stage.equals("running") && amount(spec, "markS") > 0 && mercyS >= stow) {
            t.stage = "saving";
            t.stored = true;
            t.endsAt = nowMs() + (long) (stow * 1000);
        } else if (!t.stage.equals("saving") || mercyS == 0) {
            t.stored = false;
            end(t, "halted");
        }
    }
}
