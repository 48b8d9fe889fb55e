import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What users have submitted, and what the workers have run of it. */
final class Jobs {
    /** The descriptions that users upload, from which workers learn what a task needs, by job id. */
    final Map<String, Map<String, Object>> specs = new ConcurrentHashMap<>();

    /** How long each task of a job really runs, in seconds; services run until they are stopped. */
    final Map<String, Double> runS = new ConcurrentHashMap<>();

    /** The tasks that have completed: a result is kept, and a task that is started again exits as done. */
    final Set<String> done = ConcurrentHashMap.newKeySet();

    /** How often each task was started on any machine. */
    final Map<String, Integer> starts = new ConcurrentHashMap<>();

    /** The machine that each task is on, for tasks that have their image. */
    final Map<String, String> machineOf = new ConcurrentHashMap<>();

    long doneOf(String job) {
        return done.stream().filter(t -> t.startsWith(job + "/")).count();
    }

    long startedOf(String job) {
        return starts.keySet().stream().filter(t -> t.startsWith(job + "/")).count();
    }

    long startsOf(String job) {
        return starts.entrySet().stream().filter(e -> e.getKey().startsWith(job + "/"))
            .mapToLong(Map.Entry::getValue).sum();
    }

    long onMachines(String job) {
        return machineOf.keySet().stream().filter(t -> t.startsWith(job + "/")).count();
    }
}
