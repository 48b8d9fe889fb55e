package io.reedmast.sim

import kotlin.random.Random

/**
 * Generates from its seed the scenario of a day on which direct calls arrive again, in several copies and up to minutes
 * late, while tasks end, move and are cancelled, and while controllers and machines are back within a second.
 *
 * A machine is back after it has hung, or after it was cut off, for less than a second. A controller is back as a new
 * process, or after a pause or a cut. Some days have one shard, others up to five; on some, controllers of the version
 * before rollouts stand beside the others, and are upgraded in the end.
 */
class LaunchCopiesDay(private val seed: Long) {
    private val random = Random(seed)
    private val controllers = 1 + (seed % MAX_CONTROLLERS).toInt()
    private val hasOlderVersions = controllers > 1 && random.nextInt(3) == 0
    private val events = ArrayList<Pair<Double, String>>()

    /** The scenario's lines. */
    fun lines(): List<String> {
        addCopies()
        repeat(JOBS) { addJob(it) }
        repeat(random.nextInt(6, 16)) { addReturnWithinASecond(between(8.0, FAULTS_END_S - 2.0)) }
        if (hasOlderVersions) addUpgrades()
        addEnd()
        return head() + events.sortedBy { it.first }.map { "at ${it.first} ${it.second}" }
    }

    private fun head(): List<String> = listOf(
        "seed $seed",
        "controllers $controllers",
        "capacity ${MACHINES + 4}",
        "machine-type m 4 5",
    ) + TEAMS.map { "team $it 8 12" } + (0 until MACHINES).map { "machine m ${if (it % 2 == 0) "x" else "y"}" } +
        if (hasOlderVersions) {
            listOf(
                "predates-rollouts ${olderControllers().joinToString(" ") {
                    "n$it"
                }}",
            )
        } else {
            emptyList()
        }

    private fun olderControllers() = (0 until controllers).filter { it % 2 == 0 }

    private fun at(seconds: Double, event: String) {
        events.add(Math.round(seconds * MS_PER_S) / MS_PER_S to event)
    }

    private fun between(from: Double, to: Double) = random.nextDouble(from, to)

    private fun randomController() = "n${random.nextInt(controllers)}"

    private fun randomMachine() = "host-%06d".format(random.nextInt(MACHINES + 2))

    /** The copies of a part of the day come soon, those of another up to more than a minute late. */
    private fun addCopies() {
        var from = 1.0
        while (from < FAULTS_END_S) {
            val maxDelayS = listOf(0.3, 2.0, 10.0, 30.0, 90.0).random(random)
            at(from, "copy-direct-calls ${random.nextInt(1, 5)} $maxDelayS")
            from += between(5.0, 30.0)
        }
    }

    private fun addJob(number: Int) {
        val from = between(2.0, FAULTS_END_S - 20.0)
        val jobId = "wk-${number + 1}"
        val isService = random.nextInt(3) == 0
        val shape = if (isService) "kind=service" else "run=${random.nextInt(1, 25)}"
        val checkpoint = if (isService || random.nextBoolean()) "" else " checkpoint=${random.nextInt(1, 5)}"
        val priority = if (isService) "urgent" else listOf("standard", "best_effort", "urgent").random(random)
        val team = TEAMS.random(random)
        val tasks = random.nextInt(1, 5)
        at(from, "submit $jobId team=$team tasks=$tasks $shape$checkpoint priority=$priority retry=true")
        when (random.nextInt(5)) {
            0, 1 -> at(from + between(0.0, 30.0), "abort $jobId retry=true")
            2 -> if (!isService) at(from, "race-completion $jobId")
        }
    }

    private fun addReturnWithinASecond(from: Double) {
        val controller = randomController()
        val machine = randomMachine()
        val until = from + between(0.1, 0.95)
        when (random.nextInt(7)) {
            0, 1 -> restart(listOf(controller), from, until)
            2 -> restart((0 until controllers).map { "n$it" }, from, until)
            3 -> at(from, "pause $controller ${Math.round((until - from) * 10) / 10.0}")
            4 -> at(from, "hang $machine ${until - from}")
            5 -> switch("partition-machine $machine", from, until)
            6 -> switch("partition-from-workers $controller", from, until)
        }
    }

    private fun restart(labels: List<String>, from: Double, until: Double) {
        at(from, "crash ${labels.joinToString(" ")}")
        labels.forEach { at(until, "start-if-down $it") }
    }

    private fun switch(fault: String, from: Double, until: Double) {
        at(from, "$fault on")
        at(until, "$fault off")
    }

    private fun addUpgrades() = olderControllers().forEach {
        val from = between(FAULTS_END_S / 2, FAULTS_END_S - 2.0)
        at(from, "upgrade n$it")
        at(from + between(0.1, 0.95), "start-if-down n$it")
    }

    /** The last copies arrive after the faults; whatever was done by then must stay as it is. */
    private fun addEnd() {
        for (controller in 0 until controllers) {
            at(FAULTS_END_S, "partition-from-workers n$controller off")
            at(FAULTS_END_S, "start-if-down n$controller")
        }
        at(FAULTS_END_S, "copy-direct-calls 0 0")
        at(FAULTS_END_S, "faults-over")
        at(FAULTS_END_S + 60, "expect all-jobs-answered")
        at(FAULTS_END_S + 200, "expect settled")
    }

    private companion object {
        const val MAX_CONTROLLERS = 5
        const val MACHINES = 5
        const val JOBS = 14
        const val MS_PER_S = 1_000.0
        const val FAULTS_END_S = 90.0
        val TEAMS = listOf("a", "b", "c", "d", "e")
    }
}
