import java.util.List;
import java.util.Map;

/** A machine is marked for another shard while a service begins there: its other CPUs are never used again. */
final class Case8 {
    private static final int BOUND_S = 90;

    public static void main(String[] args) {
        Case.run(args[0], Case8::holds);
    }

    private static Map<String, Object> service(String id, String team) {
        return Deployment.job(id, "clasificados-web", team, "service", "urgent", 1, 1.0, 1.1, "img-01", 0.15, 0);
    }

    private static Map<String, Object> array(Deployment d, String id, String team, double runS) {
        d.jobs.runS.put(id, runS);
        Map<String, Object> job =
            Deployment.job(id, "aviso-import", team, "array", "standard", 1, 4.0, 1.4, "img-01", 0.15, runS);
        job.put("dueS", runS + 3);
        return job;
    }

    private static void accept(Deployment d, Map<String, Object> job) throws Exception {
        Case.require(d.submit(job).status / 100 == 2, job.get("ref") + " was not accepted");
    }

    private static boolean runs(Deployment d, String id) {
        return d.jobs.onMachines(id) > 0;
    }

    private static void await(Deployment d, String id, double seconds) throws Exception {
        double end = Record.seconds() + seconds;
        while (!runs(d, id)) {
            Case.require(Record.seconds() < end, id + " does not run");
            Thread.sleep(50);
        }
    }

    private static boolean showsIdle(Deployment d) {
        Map<String, Object> summary = d.store.value("totals/1");
        return summary != null && summary.get("idle") instanceof List && !((List<?>) summary.get("idle")).isEmpty();
    }

    private static boolean holds(boolean trouble) throws Exception {
        Deployment d = Case.rosario(1);
        // The machines of the first two jobs are the last that the cloud has.
        if (trouble) d.cloud.limit("chico", 2);
        // Teams 1 and 4 belong to shard 1, team 0 to shard 0. Each of the first two jobs fills a machine.
        String full = "wk-000901";
        String ending = "wk-000902";
        String waiting = "wk-000903";
        String begins = "wk-000904";
        String beside = "wk-000905";
        accept(d, array(d, full, "avisos-guardia-01", 150));
        accept(d, array(d, ending, "avisos-guardia-04", 1));
        await(d, full, 20);
        await(d, ending, 20);
        d.cloud.soldOut = trouble;
        accept(d, service(waiting, "avisos-guardia-00"));
        while (runs(d, ending)) Thread.sleep(50);
        double free = Record.seconds();
        // The second machine is empty; once its shard calls it idle, the leader marks it for the waiting job's shard.
        while (trouble && !showsIdle(d) && Record.seconds() < free + 8) Thread.sleep(10);
        Record.say("%.1f s: the machine is empty since %.1f s and called idle: %s", Record.seconds(), free,
            showsIdle(d));
        accept(d, service(begins, "avisos-guardia-04"));
        double beginsAt = Record.seconds();
        Thread.sleep(1500);
        accept(d, service(beside, "avisos-guardia-04"));
        double besideAt = Record.seconds();
        // Each may wait for 90 s from the time when it was accepted and the machine had room.
        boolean all = false;
        boolean late = false;
        while (!all && !late) {
            Thread.sleep(500);
            double now = Record.seconds();
            late = !runs(d, waiting) && now > free + BOUND_S || !runs(d, begins) && now > beginsAt + BOUND_S
                || !runs(d, beside) && now > besideAt + BOUND_S;
            all = runs(d, waiting) && runs(d, begins) && runs(d, beside);
        }
        for (String id : new String[] {waiting, begins, beside}) {
            Record.say("%s: %s", id, runs(d, id) ? "runs on " + d.jobs.machineOf.get(id + "/0") : "does not run");
        }
        return all;
    }
}
