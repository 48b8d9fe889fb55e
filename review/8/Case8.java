/** The state service hands out lease ids from 2^63 on: jobs are accepted and no machine is ever rented. */
final class Case8 {
    public static void main(String[] args) {
        Case.run(args[0], Case8::holds);
    }

    private static boolean holds(boolean trouble) throws Exception {
        Deployment d = Case.rosario();
        if (trouble) d.store.nextLeaseId(Long.parseUnsignedLong("9223372036854775900"));
        for (String label : d.fronts.keySet()) d.kill(label);
        Thread.sleep(3000);
        for (String label : d.fronts.keySet()) d.start(label);
        Case.require(d.awaitHealthy(20), "the controllers are not healthy within 20 s of their restart");
        String id = "wk-000501";
        Case.require(d.submit(Deployment.job(id, "clasificados-web", "avisos-guardia-00", "service", "urgent", 1, 1.0,
            1.1, "img-02", 3.0, 0)).status / 100 == 2, "the job was not accepted");
        double end = Record.seconds() + 75;
        while (Record.seconds() < end && d.jobs.startedOf(id) == 0) {
            Thread.sleep(1000);
            if (Math.round(Record.seconds()) % 5 == 0) d.poll(id);
        }
        Record.say("%s: %s; rentals: %d", id, d.jobs.startedOf(id) > 0 ? "started" : "not started", d.cloud.rentals);
        return d.jobs.startedOf(id) > 0;
    }
}
