package io.reedmast.loopback

/** Records on which machines tasks ran and when, as seen by the workers, and which rules this violated. */
class TaskHistory {
    /** One run of a task; [untilMs] is null while it lasts. */
    private class Run(val machine: String, val fromMs: Long, var untilMs: Long? = null)

    private val runs = HashMap<String, MutableList<Run>>()

    private data class Launch(val machine: String, val epoch: Long, val taskId: String, val attempt: Long)

    private val launches = HashSet<Launch>()

    /** Descriptions of the violated rules. */
    val violations = ArrayList<String>()

    /** How often a lease expired while tasks ran on its machine. */
    var leasesExpiredWithTasks = 0
        private set

    /** A worker carries out a launch. In one epoch it does so once for an attempt, also after it was told to forget it. */
    @Synchronized
    fun recordLaunch(machine: String, epoch: Long, taskId: String, attempt: Long) {
        if (!launches.add(Launch(machine, epoch, taskId, attempt))) {
            violations.add("launched_again $taskId attempt $attempt on $machine")
        }
    }

    @Synchronized
    fun recordStart(taskId: String, machine: String, atMs: Long) {
        val runsOfTask = runs.getOrPut(taskId) { ArrayList() }
        runsOfTask.firstOrNull {
            it.untilMs == null
        }?.let { violations.add("ran_twice $taskId on ${it.machine} and $machine") }
        runsOfTask.add(Run(machine, atMs))
    }

    @Synchronized
    fun recordEnd(taskId: String, atMs: Long) {
        runs[taskId]?.lastOrNull { it.untilMs == null }?.untilMs = atMs
    }

    @Synchronized
    fun recordLeaseExpiry(machine: String, atMs: Long) {
        leasesExpiredWithTasks++
        violations.add("lease_lost $machine at $atMs ms")
    }

    /** The number of running tasks of the job. */
    @Synchronized
    fun runningCount(jobId: String): Int = runs.entries.count {
        it.key.startsWith("$jobId/") &&
            it.value.any { run -> run.untilMs == null }
    }

    /** How many times tasks of the job have been started. */
    @Synchronized
    fun startCount(jobId: String): Int = runs.entries.filter { it.key.startsWith("$jobId/") }.sumOf { it.value.size }

    /**
     * The time, in milliseconds, during which tasks of the job did not run between [fromMs] and [toMs], summed over its
     * [taskCount] tasks.
     */
    @Synchronized
    fun lostMs(jobId: String, taskCount: Int, fromMs: Long, toMs: Long): Long = (0 until taskCount).sumOf { task ->
        val ran = runs["$jobId/$task"].orEmpty().sumOf {
            maxOf(
                0L,
                minOf(it.untilMs ?: toMs, toMs) - maxOf(it.fromMs, fromMs),
            )
        }
        maxOf(0L, toMs - fromMs - ran)
    }
}
