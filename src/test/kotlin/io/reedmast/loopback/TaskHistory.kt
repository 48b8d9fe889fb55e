package io.reedmast.loopback

/** What ran where and when, as the workers themselves saw it, and whether it broke a rule. */
class TaskHistory {
    /** One run of a task; [until] is null while it goes on. */
    private class Run(val machine: String, val from: Long, var until: Long? = null)

    private val runs = HashMap<String, MutableList<Run>>()

    /** Broken rules, in words. */
    val broken = ArrayList<String>()

    /** How often a lease ended with tasks on the machine. */
    var leasesLost = 0
        private set

    @Synchronized
    fun started(piece: String, machine: String, at: Long) {
        val of = runs.getOrPut(piece) { ArrayList() }
        of.firstOrNull { it.until == null }?.let { broken.add("ran_twice $piece on ${it.machine} and $machine") }
        of.add(Run(machine, at))
    }

    @Synchronized
    fun ended(piece: String, at: Long) {
        runs[piece]?.lastOrNull { it.until == null }?.until = at
    }

    @Synchronized
    fun leaseLost(machine: String, at: Long) {
        leasesLost++
        broken.add("lease_lost $machine at $at")
    }

    /** How many tasks of the job run. */
    @Synchronized
    fun running(jobId: String): Int = runs.entries.count {
        it.key.startsWith("$jobId/") &&
            it.value.any { run -> run.until == null }
    }

    /** How often tasks of the job have started. */
    @Synchronized
    fun starts(jobId: String): Int = runs.entries.filter { it.key.startsWith("$jobId/") }.sumOf { it.value.size }

    /**
     * For how long, in milliseconds, tasks of the job did not run between [from] and [to], added up over its
     * [taskCount] tasks.
     */
    @Synchronized
    fun lostMs(jobId: String, taskCount: Int, from: Long, to: Long): Long = (0 until taskCount).sumOf { task ->
        val ran = runs["$jobId/$task"].orEmpty().sumOf { maxOf(0L, minOf(it.until ?: to, to) - maxOf(it.from, from)) }
        maxOf(0L, to - from - ran)
    }
}
