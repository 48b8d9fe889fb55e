import io.reedmast.wire.BodyCodec;
import java.io.File;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Three controllers as real processes, with stand-ins of state service, cloud, workers, load balancer and users. */
final class Platform implements AutoCloseable {
    interface Body { void run() throws Exception; }

    private static final long START = System.nanoTime();
    private final PrintWriter record;
    private final Path folder;
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, Platform::daemon);
    private final Map<Integer, Process> processes = new ConcurrentHashMap<>();
    private final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    private final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    final Map<String, Long> startedAt = new ConcurrentHashMap<>();
    private final Map<String, Long> startsByJob = new ConcurrentHashMap<>();
    final List<String> labels = List.of("mastil-0", "mastil-1", "mastil-2");
    final List<String> fronts = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final boolean[] healthy = new boolean[3];
    private int turn = 0;
    private final List<String> run;
    double reportS = 3, leaseS = 24, cancelS = 54;
    State state;
    Cloud cloud;
    Map<String, Object> facts;

    Platform(String recordFile) throws Exception {
        record = new PrintWriter(recordFile);
        folder = Files.createTempDirectory("review");
        run = new ArrayList<>(List.of(runCommand().split(" ")));
        for (int i = 0; i < 3; i++) { fronts.add("127.0.0.1:" + freePort()); peerPorts.add(freePort()); }
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /** The command line of the deploy file; it is run in the root of the repository. */
    private static String runCommand() throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run = ")) return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        throw new IllegalStateException("deploy/service.toml has no run");
    }

    private static int freePort() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) { return s.getLocalPort(); }
    }

    static long now() { return (System.nanoTime() - START) / 1_000_000; }

    static Thread daemon(Runnable r) { Thread t = new Thread(r); t.setDaemon(true); return t; }

    static void start(String name, Body body) {
        Thread t = daemon(() -> {
            try { body.run(); } catch (InterruptedException e) { Thread.currentThread().interrupt(); } catch (Exception e) { e.printStackTrace(); }
        });
        t.setName(name);
        t.start();
    }

    void later(long ms, Runnable work) { timer.schedule(work, Math.max(0, ms), TimeUnit.MILLISECONDS); }

    synchronized void record(String line) {
        record.printf("%8.3f %s%n", now() / 1000.0, line);
        record.flush();
    }

    /** Settings as the bench prints them for a small deployment. */
    void settings(List<String> zones, Map<String, Double> teamCpus, Map<String, Object> stateFacts, double cloudRps, double lagS,
                  Map<String, Object> resources) {
        List<Object> teams = new ArrayList<>();
        teamCpus.forEach((team, max) -> teams.add(Map.of("name", team, "cpus", max / 3, "cpus_max", max, "gpus", 0.0, "gpus_max", 0.0)));
        facts = new LinkedHashMap<>();
        facts.put("nodes", 3L); facts.put("zones", zones); facts.put("teams", teams); facts.put("objectives", List.of());
        facts.put("workers", Map.of("report_s", reportS, "lease_s", leaseS, "gang_wait_s", 50.0, "gang_peer_s", 5.0, "cancel_s", cancelS));
        facts.put("state", stateFacts); facts.put("cloud", Map.of("rps", cloudRps, "list_lag_s", lagS));
        facts.put("resources", resources);
        facts.put("clock_error_ms", 100.0);
    }

    private Path settingsFile(int i) throws Exception {
        List<Object> seeds = new ArrayList<>();
        List<?> zones = (List<?>) facts.get("zones");
        for (int j = 0; j < 3; j++) if (j != i) {
            seeds.add(Map.of("label", labels.get(j), "area", zones.get(j % zones.size()), "endpoint", peerAddress(i, j)));
        }
        Map<String, Object> root = new LinkedHashMap<>();
        root.put("label", labels.get(i)); root.put("area", zones.get(i % zones.size())); root.put("front", fronts.get(i));
        root.put("cluster_listen", "127.0.0.1:" + peerPorts.get(i)); root.put("seeds", seeds);
        root.put("outside", Map.of("cloud", cloudAddress(i), "state", stateAddress(i)));
        root.put("facts", facts);
        Path file = folder.resolve(labels.get(i) + ".json");
        Files.write(file, BodyCodec.INSTANCE.writeJson(root));
        return file;
    }

    /** May be given by a case: a proxy between controllers, or between a controller and the outside. */
    Map<String, String> proxies = new HashMap<>();
    private String peerAddress(int from, int to) { return proxies.getOrDefault("peer-" + from + "-" + to, "127.0.0.1:" + peerPorts.get(to)); }
    String peer(int to) { return "127.0.0.1:" + peerPorts.get(to); }
    private String stateAddress(int i) { return proxies.getOrDefault("state-" + i, state.address()); }
    private String cloudAddress(int i) { return proxies.getOrDefault("cloud-" + i, cloud.address()); }

    void startController(int i) throws Exception {
        List<String> command = new ArrayList<>(run);
        command.add(settingsFile(i).toString());
        ProcessBuilder b = new ProcessBuilder(command);
        b.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        b.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        b.redirectError(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), labels.get(i) + ".log")));
        processes.put(i, b.start());
        record("controller " + labels.get(i) + " started");
    }

    void kill(int i) throws Exception {
        Process p = processes.remove(i);
        if (p != null) { p.destroyForcibly(); p.waitFor(); record("controller " + labels.get(i) + " killed"); }
    }

    long pid(int i) { return processes.get(i).pid(); }

    void signal(int i, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(pid(i))).inheritIO().start().waitFor();
        record("controller " + labels.get(i) + ": signal " + signal);
    }

    List<String> log(int i) throws Exception { return Files.readAllLines(folder.resolve(labels.get(i) + ".log")); }

    /** Starts the controllers and waits until the load balancer holds all of them healthy. */
    boolean startAll(long withinMs) throws Exception {
        for (int i = 0; i < 3; i++) startController(i);
        start("probes", () -> {
            while (true) {
                for (int i = 0; i < 3; i++) healthy[i] = Http.call("GET", fronts.get(i), "/healthz", null, 1000, 1000).status() == 200;
                Thread.sleep(500);
            }
        });
        long until = now() + withinMs;
        while (now() < until) {
            if (healthy[0] && healthy[1] && healthy[2]) { record("all controllers are healthy"); return true; }
            for (Process p : processes.values()) if (!p.isAlive()) { record("a controller ended by itself: " + p.exitValue()); return false; }
            Thread.sleep(100);
        }
        return false;
    }

    boolean anyEnded() { return processes.values().stream().anyMatch(p -> !p.isAlive()); }

    /** One request of a user through the load balancer: to a healthy node, or another one if that refuses the connection. */
    Http.Answer user(String method, String path, Map<String, Object> body) {
        Http.Answer answer = null;
        for (int tries = 0; tries < 3; tries++) {
            int node = -1;
            synchronized (this) {
                for (int k = 0; k < 3 && node < 0; k++) if (healthy[(turn + k) % 3]) node = (turn + k) % 3;
                turn = node + 1;
            }
            if (node < 0) return new Http.Answer(0, Map.of(), "no healthy node");
            answer = Http.call(method, fronts.get(node), path, body, 500, method.equals("GET") ? 2000 : 5000);
            record("user: " + method + " " + path + " at " + labels.get(node) + ": " + answer);
            if (answer.status() != 0 || !answer.header().contains("ConnectException")) return answer;
        }
        return answer;
    }

    Map<String, Object> job(String ref, String lot, String crew, String shape, String rank, int pieces, double cpus, List<String> builds) {
        Map<String, Object> f = new LinkedHashMap<>();
        f.put("ref", ref); f.put("lot", lot); f.put("crew", crew); f.put("shape", shape); f.put("rank", rank); f.put("pieces", (long) pieces);
        f.put("cpus", cpus); f.put("gpus", 0.0); f.put("memGb", 1.1); f.put("bundle", "img-01"); f.put("sizeGb", 0.1);
        f.put("builds", builds); f.put("yard", null); f.put("oneZone", false); f.put("apart", false); f.put("driftwood", false);
        f.put("guessS", 0.0); f.put("markS", 0.0); f.put("stowS", 0.0); f.put("dueS", null);
        return f;
    }

    /** Submits like a user: retries for up to 60 s. Returns the last answer. */
    Http.Answer submit(Map<String, Object> job, double runS) throws Exception {
        String ref = (String) job.get("ref");
        jobs.put(ref, job);
        runSeconds.put(ref, runS);
        record("user: submits " + ref + ", " + BodyCodec.INSTANCE.jsonSize(job) + " bytes as JSON, team " + job.get("crew"));
        long until = now() + 60_000;
        while (true) {
            Http.Answer answer = user("POST", "/submissions", job);
            int s = answer.status();
            if (s == 200 || s == 201 || s == 400 || s == 422 || now() > until) return answer;
            Thread.sleep(1000);
        }
    }

    Map<String, Object> jobOf(String piece) { return jobs.get(piece.substring(0, piece.indexOf('/'))); }
    double cpusOf(String piece) { Map<String, Object> j = jobOf(piece); return j == null ? 0 : ((Number) j.get("cpus")).doubleValue(); }
    double runS(String piece) { return runSeconds.get(piece.substring(0, piece.indexOf('/'))); }

    void started(Worker worker, String piece, long attempt) {
        startedAt.putIfAbsent(piece, now());
        startsByJob.merge(piece.substring(0, piece.indexOf('/')), 1L, Long::sum);
        record(worker.name + ": " + piece + " attempt " + attempt + " runs");
    }

    /** How often a task of the job has been started. */
    long starts(String ref) { return startsByJob.getOrDefault(ref, 0L); }

    /** Where each piece runs now. */
    Map<String, List<String>> running() {
        Map<String, List<String>> on = new TreeMap<>();
        for (Worker w : cloud.up()) for (String p : w.running()) on.computeIfAbsent(p, k -> new ArrayList<>()).add(w.name);
        return on;
    }

    private synchronized void end() {
        for (Process p : processes.values()) p.destroyForcibly();
        processes.clear();
    }

    @Override public void close() throws Exception {
        for (int i = 0; i < 3; i++) {
            Path file = folder.resolve(labels.get(i) + ".log");
            if (!Files.exists(file)) continue;
            Map<String, Integer> errors = new LinkedHashMap<>();
            for (String line : Files.readAllLines(file)) {
                if (line.contains(" ERROR ") || line.contains("refused as malformed")) errors.merge(line.replaceFirst("^\\S+ ", ""), 1, Integer::sum);
            }
            final int n = i;
            errors.entrySet().stream().limit(12).forEach(e -> record(labels.get(n) + " logged " + e.getValue() + " times: " + e.getKey()));
        }
        end();
        for (File f : folder.toFile().listFiles()) f.delete();
        folder.toFile().delete();
        record.close();
    }
}
