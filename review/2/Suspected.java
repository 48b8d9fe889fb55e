import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Some machines fail every task that they start for a while, and an array is started on them. Then they are well again. */
public final class Suspected {
    /** The bound of the rule: no job is left waiting for 90 s while a machine that fits has room. */
    private static final long WAIT_MS = 90_000;
    private static final long SICK_MS = 16_000;

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
        for (int i = 0; i < 10; i++) teams.put("avisos-guardia-0" + i, 350.0);
        p.reportS = 3; p.leaseS = 24; p.cancelS = 54;
        p.state = new State(p, 250, 20, 32, 16);
        p.cloud = new Cloud(p, 3, 5, List.of(new Cloud.Type("chico", 4, 8, 0.15, 0.26, 0.07, 2, zones, 24)));
        p.settings(zones, teams, Map.of("rps", 250.0, "write_rps", 20.0, "value_kb", 32.0, "txn_ops", 16L), 3, 5,
            Map.of("cpu", 0.17, "ram_mb", 210.0, "max_connections", 1200L));
        if (!p.startAll(8_000)) return 2;
        // A healthy machine with room: three of its four CPUs stay free.
        if (p.submit(p.job("wk-000001", "clasificados-web", "avisos-guardia-01", "service", "urgent", 1, 1, null), 0).status() != 201) return 2;
        long until = Platform.now() + 4_000;
        while (p.cloud.rented() == 0) { if (Platform.now() > until) return 2; Thread.sleep(20); }
        long wellAt = Platform.now() + SICK_MS;
        if (trouble) { p.cloud.sickUntil = wellAt; p.cloud.sickMachines = 6; }
        // 16 tasks of 1 CPU and 5 s: four machines.
        Map<String, Object> job = p.job("wk-000002", "aviso-import", "avisos-guardia-00", "array", "standard", 16, 1, null);
        job.put("guessS", 5.0);
        if (p.submit(job, 5).status() != 201) return 2;
        while (Platform.now() < wellAt && trouble) Thread.sleep(20);
        if (trouble) p.record("all machines are well from now on");
        long startedBefore = trouble ? p.starts("wk-000002") : 0;
        double leastRoom = 4;
        while (Platform.now() < wellAt + WAIT_MS) {
            Thread.sleep(200);
            if (p.starts("wk-000002") > startedBefore) { p.record("rule held: a task of wk-000002 has been started"); return p.anyEnded() ? 2 : 0; }
            double room = 0;
            for (Worker w : p.cloud.up()) room = Math.max(room, w.freeCpus());
            leastRoom = Math.min(leastRoom, room);
        }
        p.user("GET", "/submissions/wk-000002", null);
        p.record("running now: " + p.running() + "; the machine with the most room always had at least " + leastRoom + " CPUs free");
        if (leastRoom < 1 || startedBefore == 0) return 2;
        p.record("rule broken: no task of wk-000002 (1 CPU each, team at 0 of 350 CPUs) was started for " + WAIT_MS / 1000 + " s");
        return 1;
    }
}
