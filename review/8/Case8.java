import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A job whose record just fits in the state service: its cancellation doesn't, and is never answered. */
final class Case8 {
    public static void main(String[] args) {
        Case.run(args[0], Case8::holds);
    }

    private static boolean holds(boolean trouble) throws Exception {
        Deployment d = Case.mnemosyne();
        String id = "wk-000500";
        Map<String, Object> job = Deployment.job(id, "kartela-api", "deck-team-00", "service", "urgent", 1, 1.0, 1.6,
            "img-07", 1.2, 0);
        List<Object> builds = new ArrayList<>(List.of("elaia", "kastro", "vouno"));
        job.put("builds", builds);
        int size = trouble ? 8 * 1024 - 85 : 4 * 1024;
        for (int i = 0; Cbor.jsonSize(job) < size - 60; i++) builds.add(String.format("retired-%04d", i));
        builds.add("x".repeat(size - Cbor.jsonSize(job) - 3));
        Record.say("the submission has %d bytes as JSON", Cbor.jsonSize(job));
        Case.require(d.submit(job).status / 100 == 2, "the job was not accepted");
        for (String key : d.store.keys("j/live/")) {
            Record.say("%s: %d bytes as JSON of at most 8192", key, Cbor.jsonSize(d.store.value(key)));
        }
        Thread.sleep(8000);
        Case.require(d.jobs.onMachines(id) == 1, "the service does not run");
        Http.Answer a = d.abort(id, 60);
        Record.say("the last answer to the cancellation, repeated for 60 s: %s", a);
        Record.say("refused by the state service: %s", d.store.refused);
        if (a.status != 200) {
            Record.say("the service still runs: %s", d.jobs.onMachines(id) == 1);
            return false;
        }
        return true;
    }
}
