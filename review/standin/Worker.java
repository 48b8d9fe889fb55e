import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A worker of PROTOCOL: reports, sessions, leases, tokens, images and the effects of orders. */
final class Worker {
    private static final class Task {
        String piece, stage = "fetching", cause; long attempt;
        boolean ended() { return stage.equals("ended"); }
        boolean started() { return stage.equals("running"); }
    }

    private final Platform platform;
    final String name, yard;
    final Cloud.Type type;
    final boolean spot;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long tenure = 1, tally = 0, baton = 0, leaseFrom, lastSent = 0, changedBatonAt = 0;
    private int node = 0;
    /** Until when every task that the machine starts fails. */
    volatile long sickUntil = 0;
    private boolean up = false, off = false, changed = false;
    private final HttpServer server;

    Worker(Platform platform, String name, Cloud.Type type, String yard, boolean spot) throws Exception {
        this.platform = platform; this.name = name; this.type = type; this.yard = yard; this.spot = spot;
        node = (int) (Math.random() * platform.fronts.size());
        server = Http.serve(this::handle);
    }

    String address() { return "127.0.0.1:" + server.getAddress().getPort(); }
    synchronized boolean isUp() { return up && !off; }

    synchronized double freeCpus() {
        double used = 0;
        for (Task t : tasks.values()) if (!t.ended()) used += platform.cpusOf(t.piece);
        return type.cpus() - used;
    }

    /** Pieces that are on the machine: they have their image and have not exited. */
    synchronized List<String> running() {
        List<String> pieces = new ArrayList<>();
        if (!off) for (Task t : tasks.values()) if (t.started()) pieces.add(t.piece);
        return pieces;
    }

    synchronized void boot() {
        if (off) return;
        up = true;
        leaseFrom = Platform.now();
        platform.record(name + ": up");
        Platform.start(name, this::loop);
    }

    void powerOff() {
        synchronized (this) {
            if (off) return;
            off = true;
            killAll("its machine is gone");
        }
        server.stop(0);
    }

    private void killAll(String why) {
        for (Task t : tasks.values()) if (!t.ended()) platform.record(name + ": " + t.piece + " attempt " + t.attempt + " killed, " + why);
        tasks.clear();
    }

    private void checkLease() {
        if (Platform.now() - leaseFrom <= platform.leaseS * 1000) return;
        killAll("lease expired");
        tenure++;
        leaseFrom = Platform.now();
        changed = true;
    }

    private void loop() throws InterruptedException {
        long dueAt = Platform.now();
        while (true) {
            synchronized (this) {
                while (!off) {
                    checkLease();
                    long now = Platform.now();
                    long sendAt = changed ? Math.min(dueAt, lastSent + 500) : dueAt;
                    if (now >= sendAt) break;
                    wait(Math.min(sendAt - now, 100));
                }
                if (off) return;
            }
            long pause = report();
            dueAt = Platform.now() + (pause >= 0 ? pause : (long) (platform.reportS * 1000 * (0.75 + 0.5 * Math.random())));
            if (pause >= 0) Thread.sleep(pause);
        }
    }

    /** Sends one report; returns the pause before the next one, or -1 for the usual interval. */
    private long report() {
        Map<String, Object> body;
        long sentAt, session;
        synchronized (this) {
            changed = false;
            sentAt = lastSent = Platform.now();
            session = tenure;
            body = status();
        }
        Http.Answer answer = Http.call("POST", platform.fronts.get(node), "/checkin", body, 4000, 4000);
        synchronized (this) {
            if (off) return 0;
            if (answer.status() == 421) {
                Object steward = answer.body().get("steward");
                int to = steward == null ? -1 : platform.labels.indexOf(steward);
                if (to >= 0 && to != node) { node = to; return (long) (Math.random() * 500); }
            }
            if (answer.status() != 200) {
                node = (node + 1) % platform.fronts.size();
                return 1000;
            }
            Object token = answer.body().get("baton");
            if (!(token instanceof Number) || ((Number) token).longValue() < baton || session != tenure) return -1;
            seen(((Number) token).longValue());
            leaseFrom = sentAt;
            execute(answer.body().get("orders"));
            return -1;
        }
    }

    private void seen(long token) {
        if (token <= baton) return;
        baton = token;
        if (Platform.now() - changedBatonAt > platform.leaseS * 500) { changed = true; changedBatonAt = Platform.now(); }
    }

    private void execute(Object orders) {
        if (!(orders instanceof List<?> list)) return;
        for (Object o : list) {
            Map<?, ?> order = (Map<?, ?>) o;
            String piece = (String) order.get("piece");
            long attempt = ((Number) order.get("try")).longValue();
            Task task = tasks.get(piece + "#" + attempt);
            switch ((String) order.get("verb")) {
                case "launch" -> { if (task == null) launch(piece, attempt); }
                case "stop" -> { if (task != null && !task.ended()) exit(task, "halted"); }
                case "forget" -> { if (task != null && task.ended()) { tasks.remove(piece + "#" + attempt); changed = true; } }
                default -> { }
            }
        }
    }

    private void launch(String piece, long attempt) {
        Task task = new Task();
        task.piece = piece; task.attempt = attempt;
        boolean busy = tasks.values().stream().anyMatch(t -> t.piece.equals(piece) && !t.ended());
        boolean room = freeCpus() + 1e-9 >= platform.cpusOf(piece);
        tasks.put(piece + "#" + attempt, task);
        changed = true;
        Map<String, Object> job = platform.jobOf(piece);
        if (job == null || busy || !room) { task.stage = "ended"; task.cause = job == null ? "unknown" : busy ? "busy" : "no_room"; return; }
        String image = (String) job.get("bundle");
        double fetchS = images.contains(image) ? 0 : ((Number) job.get("sizeGb")).doubleValue() / type.pullGbPerS();
        platform.later((long) (fetchS * 1000), () -> begin(task, image));
    }

    private synchronized void begin(Task task, String image) {
        if (off || tasks.get(task.piece + "#" + task.attempt) != task || task.ended()) return;
        images.add(image);
        task.stage = "running";
        changed = true;
        notifyAll();
        platform.started(this, task.piece, task.attempt);
        if (Platform.now() < sickUntil) { platform.later(300, () -> fail(task)); return; }
        double runS = platform.runS(task.piece);
        if (runS > 0) platform.later((long) (runS * 1000), () -> finish(task));
    }

    private synchronized void finish(Task task) {
        if (!off && tasks.get(task.piece + "#" + task.attempt) == task && task.started()) exit(task, "done");
    }

    private synchronized void fail(Task task) {
        if (!off && tasks.get(task.piece + "#" + task.attempt) == task && task.started()) exit(task, "error");
    }

    private void exit(Task task, String cause) {
        platform.record(name + ": " + task.piece + " attempt " + task.attempt + " exits, " + cause);
        task.stage = "ended"; task.cause = cause;
        changed = true;
        notifyAll();
    }

    private Map<String, Object> status() {
        Map<String, Object> f = new HashMap<>();
        List<Object> pieces = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> p = new HashMap<>();
            p.put("piece", t.piece); p.put("try", t.attempt); p.put("stage", t.stage);
            if (t.cause != null) p.put("cause", t.cause);
            pieces.add(p);
        }
        f.put("host", name); f.put("addr", address()); f.put("build", type.label()); f.put("yard", yard); f.put("driftwood", spot);
        f.put("tenure", tenure); f.put("tally", ++tally); f.put("baton", baton); f.put("pieces", pieces);
        return f;
    }

    private synchronized Http.Answer handle(String method, String path, Map<String, String> query, Map<String, Object> body) {
        if (off || !up) return null;
        checkLease();
        if (path.equals("/status")) return Http.answer(200, status());
        if (!path.equals("/do")) return Http.answer(404, Map.of());
        if (!(body.get("baton") instanceof Number token) || !(body.get("tenure") instanceof Number session)) return Http.answer(400, Map.of());
        if (token.longValue() < baton || session.longValue() != tenure) return Http.answer(409, status());
        seen(token.longValue());
        execute(body.get("orders"));
        notifyAll();
        return Http.answer(200, status());
    }
}
