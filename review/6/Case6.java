import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Seven arrays of as many tasks as PROTOCOL allows, each task small: the controllers end for lack of memory. */
final class Case6 {
    private static final int JOBS = 7;

    public static void main(String[] args) {
        Case.run(args[0], Case6::holds);
    }

    private static boolean holds(boolean trouble) throws Exception {
        Deployment d = Case.mnemosyne(true);
        String service = "wk-000099";
        Case.require(d.submit(Deployment.job(service, "kartela-api", "deck-team-01", "service", "urgent", 1, 1.0, 1.6,
            "img-07", 1.2, 0)).status / 100 == 2, "the service was not accepted");
        int pieces = trouble ? 100_000 : 68;
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String id = String.format("wk-%06d", 100 + i);
            ids.add(id);
            d.jobs.runS.put(id, 20.0);
            Case.require(d.submit(Deployment.job(id, "deck-rebuild", "deck-team-00", "array", "standard", pieces,
                0.0001, 0.0001, "img-01", 1.2, 20)).status / 100 == 2, id + " was not accepted");
        }
        Map<String, Integer> ends = new TreeMap<>();
        Map<String, Double> endedAt = new TreeMap<>();
        int polls = 0;
        int unanswered = 0;
        double end = Record.seconds() + 80;
        while (Record.seconds() < end) {
            Thread.sleep(500);
            for (String label : d.fronts.keySet()) {
                if (!endedAt.containsKey(label) && !d.process(label).isAlive()) {
                    Record.say("%.1f s: %s has ended by itself with exit code %d: %s", Record.seconds(), label,
                        d.process(label).exitValue(), d.lastLine(label));
                    ends.merge(label, 1, Integer::sum);
                    endedAt.put(label, Record.seconds());
                } else if (endedAt.containsKey(label) && Record.seconds() - endedAt.get(label) > 8) {
                    endedAt.remove(label);
                    d.start(label);
                }
            }
            if (polls++ % 4 == 0 && d.poll(service).status != 200) unanswered++;
        }
        Record.say("ends by itself: %s; polls of another team's service without 200: %d of %d; tasks started: %d",
            ends, unanswered, (polls + 3) / 4, ids.stream().mapToLong(d.jobs::startedOf).sum());
        return ends.isEmpty();
    }
}
