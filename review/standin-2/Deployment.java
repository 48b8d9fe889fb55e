import java.io.File;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the stand-ins, and three controllers as processes of their own. */
final class Deployment {
    static final class Site {
        final List<String> zones;
        final List<Object> teams;
        final double leaseS;
        final double cancelS;
        final double rps;
        final double writeRps;
        final int valueKb;
        final double cloudRps;
        final double listLagS;
        final double cpu;
        final double ramMb;
        final int maxConnections;

        Site(List<String> zones, String team, int teams, double cpus, double cpusMax, double leaseS, double cancelS,
            double rps, double writeRps, int valueKb, double cloudRps, double listLagS, double cpu, double ramMb,
            int maxConnections) {
            this.zones = zones;
            this.teams = new ArrayList<>();
            for (int i = 0; i < teams; i++) {
                this.teams.add(Cbor.map("name", String.format("%s-%02d", team, i), "cpus", cpus, "cpus_max", cpusMax,
                    "gpus", 0.0, "gpus_max", 0.0));
            }
            this.leaseS = leaseS;
            this.cancelS = cancelS;
            this.rps = rps;
            this.writeRps = writeRps;
            this.valueKb = valueKb;
            this.cloudRps = cloudRps;
            this.listLagS = listLagS;
            this.cpu = cpu;
            this.ramMb = ramMb;
            this.maxConnections = maxConnections;
        }
    }

    /** The site mnemosyne-decks. */
    static Site mnemosyne() {
        return new Site(List.of("thermi"), "deck-team", 6, 96, 264, 16, 41, 150, 50, 8, 1.5, 12, 0.425, 268, 1500);
    }

    /** The site avisos-rosario. */
    static Site rosario() {
        return new Site(List.of("costa", "centro", "norte", "sur"), "avisos-guardia", 10, 8, 24, 24, 54, 250, 20, 32,
            3, 5, 0.17, 210, 1200);
    }

    final Site site;
    final Jobs jobs = new Jobs();
    final Store store;
    final Cloud cloud;
    final Map<String, String> fronts = new LinkedHashMap<>();
    private final Map<String, String> peers = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Path folder;
    private final List<String> command;
    final Path root;

    Deployment(Site site, List<Cloud.Flavor> flavors) throws IOException {
        this.site = site;
        root = Path.of(System.getProperty("project")).toAbsolutePath();
        command = runCommand();
        folder = Files.createTempDirectory("reedmast-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        store = new Store(site.rps, site.writeRps, site.valueKb, 16);
        for (int i = 0; i < 3; i++) {
            fronts.put("mastil-" + i, freeAddress());
            peers.put("mastil-" + i, freeAddress());
        }
        cloud = new Cloud(flavors, site.zones, site.cloudRps, site.listLagS, this::boot);
    }

    private Worker boot(String host, Cloud.Flavor flavor, String zone, boolean spot) throws IOException {
        return new Worker(host, flavor, zone, spot, jobs, workersSee(), 3.0, site.leaseS);
    }

    private Map<String, String> workersSee() {
        return fronts;
    }

    private List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run = \"")) {
                return new ArrayList<>(Arrays.asList(line.substring(7, line.lastIndexOf('"')).split(" ")));
            }
        }
        throw new IOException("no run in deploy/service.toml");
    }

    /** A free port below those that the system gives to outgoing connections, which could take it meanwhile. */
    private static String freeAddress() throws IOException {
        for (int tries = 0; tries < 200; tries++) {
            int port = 10_000 + ThreadLocalRandom.current().nextInt(5_000);
            try (ServerSocket s = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + s.getLocalPort();
            } catch (BindException e) {
                Record.write("port %d is taken", port);
            }
        }
        throw new IOException("no free port");
    }

    private Map<String, Object> settings(String label) {
        List<Object> seeds = new ArrayList<>();
        int i = 0;
        for (String other : fronts.keySet()) {
            String area = site.zones.get(i++ % site.zones.size());
            if (!other.equals(label)) {
                seeds.add(Cbor.map("label", other, "area", area, "endpoint", peers.get(other)));
            }
        }
        String area = site.zones.get(new ArrayList<>(fronts.keySet()).indexOf(label) % site.zones.size());
        return Cbor.map("label", label, "area", area, "front", fronts.get(label), "cluster_listen", peers.get(label),
            "seeds", seeds, "outside", Cbor.map("cloud", cloud.address, "state", store.address),
            "facts", Cbor.map("nodes", 3, "zones", site.zones, "teams", site.teams, "objectives", List.of(),
                "workers", Cbor.map("report_s", 3.0, "lease_s", site.leaseS, "gang_wait_s", 50.0, "gang_peer_s", 8.0,
                    "cancel_s", site.cancelS),
                "state", Cbor.map("rps", site.rps, "write_rps", site.writeRps, "value_kb", (double) site.valueKb,
                    "txn_ops", 16),
                "cloud", Cbor.map("rps", site.cloudRps, "list_lag_s", site.listLagS),
                "resources", Cbor.map("cpu", site.cpu, "ram_mb", site.ramMb, "max_connections", site.maxConnections),
                "clock_error_ms", 100.0));
    }

    void startAll() throws IOException {
        for (String label : fronts.keySet()) start(label);
    }

    void start(String label) throws IOException {
        Path file = folder.resolve(label + ".json");
        Files.writeString(file, Cbor.json(settings(label)));
        List<String> all = new ArrayList<>(command);
        all.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(all).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(label)));
        processes.put(label, builder.start());
        Record.write("%s started, process %d", label, processes.get(label).pid());
    }

    File log(String label) {
        return folder.resolve(label + ".log").toFile();
    }

    /** The last line that the controller has written. */
    String lastLine(String label) throws IOException {
        List<String> lines = Files.readAllLines(log(label).toPath());
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    Process process(String label) {
        return processes.get(label);
    }

    void kill(String label) throws InterruptedException {
        processes.get(label).destroyForcibly().waitFor();
        Record.write("%s killed", label);
    }

    void end() {
        processes.values().forEach(Process::destroyForcibly);
        try {
            for (Process p : processes.values()) p.waitFor();
            String keep = System.getenv("KEEP_LOGS");
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path p : files.sorted(Comparator.reverseOrder()).toArray(Path[]::new)) {
                    if (keep != null && p.toString().endsWith(".log")) {
                        Files.copy(p, Path.of(keep, p.getFileName().toString()),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                    }
                    Files.delete(p);
                }
            }
        } catch (IOException | InterruptedException e) {
            System.err.println(e);
        }
    }

    boolean healthy(String label) {
        return Http.call("GET", fronts.get(label), "/healthz", null, 1000).status == 200;
    }

    boolean awaitHealthy(double seconds) throws IOException, InterruptedException {
        double end = Record.seconds() + seconds;
        while (Record.seconds() < end) {
            if (fronts.keySet().stream().allMatch(this::healthy)) {
                Record.write("all controllers healthy");
                return true;
            }
            Thread.sleep(250);
        }
        for (String label : fronts.keySet()) Record.write("%s: %s", label, lastLine(label));
        return false;
    }

    /** A submission as the examples of PROTOCOL have it. */
    static Map<String, Object> job(String id, String lot, String crew, String shape, String rank, int pieces,
        double cpus, double memGb, String bundle, double sizeGb, double guessS) {
        return Cbor.map("ref", id, "lot", lot, "crew", crew, "shape", shape, "rank", rank, "pieces", pieces, "cpus",
            cpus, "gpus", 0.0, "memGb", memGb, "bundle", bundle, "sizeGb", sizeGb, "builds", null, "yard", null,
            "oneZone", false, "apart", false, "driftwood", false, "guessS", guessS, "markS", 0.0, "stowS", 0.0, "dueS",
            null);
    }

    private int turn;

    /** The next node in turn, as a load balancer may choose it. */
    synchronized String anyFront() {
        List<String> all = new ArrayList<>(fronts.values());
        return all.get(turn++ % all.size());
    }

    /** Submits as a user does: repeats the request for up to 60 s. */
    Http.Answer submit(Map<String, Object> job) throws InterruptedException {
        String id = (String) job.get("ref");
        jobs.specs.put(id, job);
        double end = Record.seconds() + 60;
        while (true) {
            String front = anyFront();
            Http.Answer a = Http.call("POST", front, "/submissions", job, 5000);
            Record.write("submit %s to %s: %s", id, front, a);
            if (a.status == 200 || a.status == 201 || a.status == 400 || a.status == 422) return a;
            if (Record.seconds() > end) return a;
            Thread.sleep(1000);
        }
    }

    Http.Answer poll(String id) {
        String front = anyFront();
        Http.Answer a = Http.call("GET", front, "/submissions/" + id, null, 2000);
        Record.write("poll %s at %s: %s", id, front, a);
        return a;
    }

    /** Cancels as a user does: repeats the request until the answer is "aborted" or "done", for [seconds] here. */
    Http.Answer abort(String id, double seconds) throws InterruptedException {
        double end = Record.seconds() + seconds;
        while (true) {
            String front = anyFront();
            Http.Answer a = Http.call("POST", front, "/submissions/" + id + "/abort", null, 5000);
            Record.write("abort %s at %s: %s", id, front, a);
            if (a.status == 200 || Record.seconds() > end) return a;
            Thread.sleep(1000);
        }
    }
}
