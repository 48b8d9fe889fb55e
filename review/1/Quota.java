import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A page of placements gets no answer from the state service, its machine stops, and the job is cancelled. Then the team has more work than its limit. */
public final class Quota {
    private static final double LIMIT = 24;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Platform p = new Platform(args[0])) {
            result = run(p, trouble);
            p.record("result: " + result);
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(result);
    }

    private static int run(Platform p, boolean trouble) throws Exception {
        List<String> zones = List.of("centro", "costa", "norte", "sur");
        Map<String, Double> teams = new LinkedHashMap<>();
        for (int i = 0; i < 10; i++) teams.put("avisos-guardia-0" + i, LIMIT);
        p.state = new State(p, 250, 20, 32, 16);
        p.cloud = new Cloud(p, 3, 5, List.of(new Cloud.Type("chico", 4, 8, 0.15, 0.26, 0.07, 3, zones, 24)));
        p.settings(zones, teams, Map.of("rps", 250.0, "write_rps", 20.0, "value_kb", 32.0, "txn_ops", 16L), 3, 5,
            Map.of("cpu", 0.17, "ram_mb", 210.0, "max_connections", 1200L));
        if (!p.startAll(12_000)) return 2;
        // A machine with three free CPUs in the team's shard.
        if (p.submit(p.job("wk-000001", "clasificados-web", "avisos-guardia-00", "service", "urgent", 1, 1, null), 0).status() != 201) return 2;
        long until = Platform.now() + 15_000;
        while (!p.startedAt.containsKey("wk-000001/0")) { if (Platform.now() > until) return 2; Thread.sleep(50); }
        Worker machine = p.cloud.up().get(0);
        Thread.sleep(2000);
        boolean[] withheld = new boolean[1];
        if (trouble) {
            p.state.lateMs = 12_000;
            p.state.late = body -> {
                boolean isPage = State.keys(body).stream().anyMatch(k -> k.startsWith("page/")) && body.toString().contains("wk-000002");
                if (isPage) withheld[0] = true;
                return isPage;
            };
        }
        if (p.submit(p.job("wk-000002", "aviso-import", "avisos-guardia-00", "array", "standard", 3, 1, null), 60).status() != 201) return 2;
        if (trouble) {
            until = Platform.now() + 10_000;
            while (!withheld[0]) { if (Platform.now() > until) return 2; Thread.sleep(5); }
            p.cloud.die(machine);
        } else Thread.sleep(1000);
        until = Platform.now() + 8_000;
        while (p.user("POST", "/submissions/wk-000002/abort", null).status() != 200) { if (Platform.now() > until) return 2; Thread.sleep(1000); }
        if (trouble) {
            Thread.sleep(12_000);
            p.state.late = null;
            p.record("state service: answers again");
            Thread.sleep(5000);
        } else Thread.sleep(2000);
        Map<String, Object> array = p.job("wk-000003", "aviso-import", "avisos-guardia-00", "array", "standard", 34, 1, null);
        array.put("guessS", 60.0);
        if (p.submit(array, 90).status() != 201) return 2;
        double most = 0;
        until = Platform.now() + 40_000;
        while (Platform.now() < until) {
            double used = 0;
            Map<String, List<String>> running = p.running();
            for (var e : running.entrySet()) used += p.cpusOf(e.getKey()) * e.getValue().size();
            if (used > most) { most = used; p.record("team avisos-guardia-00 uses " + used + " CPUs of " + LIMIT); }
            if (used > LIMIT + 1e-6) {
                p.record("rule broken: running now: " + running);
                return 1;
            }
            Thread.sleep(100);
        }
        if (most < LIMIT - 1) return 2;
        p.record("rule held: the team never used more than " + most + " CPUs");
        return p.anyEnded() ? 2 : 0;
    }
}
