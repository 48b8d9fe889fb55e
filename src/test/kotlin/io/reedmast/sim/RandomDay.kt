package io.reedmast.sim

import kotlin.random.Random

/**
 * A day of a few machines on which troubles meet as chance has it, made from its seed.
 *
 * @property gangs whether gangs come beside the other jobs
 * @property upgrade whether controllers are upgraded one after the other
 * @property rollout whether features are rolled out and taken back
 * @property contested whether machines come to stand in the records of two shards, as earlier versions left them
 * @property rentals whether machines boot at once while answers to rentals are late or lost
 */
class RandomDay(
    private val seed: Long,
    private val gangs: Boolean = false,
    private val upgrade: Boolean = false,
    private val rollout: Boolean = false,
    private val rentals: Boolean = false,
    private val contested: Boolean = false,
) {
    private val random = Random(seed)
    private val events = ArrayList<Pair<Double, String>>()

    private fun at(seconds: Double, what: String) = events.add(seconds to what)

    private fun time(from: Double, to: Double) = Math.round(random.nextDouble(from, to) * 10) / 10.0

    private fun controller() = "n${random.nextInt(MEMBERS)}"

    private fun machine() = "host-%06d".format(random.nextInt(MACHINES + 4))

    fun lines(): List<String> {
        jobs()
        repeat(random.nextInt(3, 9)) { trouble(time(12.0, LAST - 30.0)) }
        outageBesideTroubleOfPeers()
        val allNewAt = if (upgrade) addUpgrade(Random(seed xor UPGRADE_SEED)) else 0.0
        if (gangs) addGangs(Random(-seed), allNewAt)
        if (rollout) addRollout(Random(seed xor ROLLOUT_SEED))
        if (rentals) addSlowRentals(Random(seed xor RENTAL_SEED))
        if (contested) addContestedMachines(Random(seed xor CONTESTED_SEED))
        at(LAST, "faults-over")
        at(LAST + 60, "expect all-jobs-answered")
        at(LAST + 220, "expect settled")
        at(LAST + 221, "expect all-jobs-answered")
        val head =
            listOf(
                "seed $seed",
                "capacity ${MACHINES + random.nextInt(1, 6) + if (gangs) ROOM_FOR_GANGS else 0}",
                "team a 8 12",
                "team b 8 12",
                "team c 0 0",
                if (rentals) "machine-type m 4 ${seed % 4 * 0.1}" else "machine-type m 4 5",
            ) +
                (0 until if (rentals) seed.toInt() % 3 else MACHINES).map {
                    "machine m ${if (it % 2 == 0) "x" else "y"}${if (it % 4 == 3) " spot" else ""}"
                }
        return head +
            (
                if (upgrade) {
                    listOf(
                        "value-kb 8",
                        "next-store-limits 1 5",
                        "predates-rollouts n0 n1 n2",
                    )
                } else {
                    emptyList()
                }
                ) +
            (if (rollout) listOf("versions n0=${seed % 4} n1=${seed / 4 % 4} n2=${seed / 16 % 4}") else emptyList()) +
            events.sortedBy { it.first }.map { "at ${it.first} ${it.second}" }
    }

    /** Workers report before the leader knows that it has rented their machines, more often the slower the store is. */
    private fun addSlowRentals(chance: Random) {
        fun moment(from: Double, to: Double) = Math.round(chance.nextDouble(from, to) * 10) / 10.0
        at(1.0, "delay-rental-replies ${chance.nextInt(1, 60) * 0.02}")
        repeat(6) {
            at(
                moment(2.0, LAST),
                "delay-rental-replies ${chance.nextInt(1, 60) * listOf(0.005, 0.02, 0.1).random(chance)}",
            )
            at(moment(2.0, LAST), "lose-rental-replies ${chance.nextInt(1, 4)}")
        }
        repeat(2) {
            val from = moment(2.0, LAST - 10.0)
            at(from, "slow-store ${chance.nextInt(5, 60)}")
            at(moment(from, LAST), "slow-store 1")
        }
    }

    private fun addContestedMachines(chance: Random) = repeat(chance.nextInt(2, 8)) {
        val machine = "host-%06d".format(chance.nextInt(MACHINES + 4))
        at(
            Math.round(chance.nextDouble(4.0, LAST) * 10) / 10.0,
            "duplicate-machine-record $machine ${chance.nextInt(MEMBERS)}",
        )
    }

    private fun jobs() {
        for (i in 1..JOBS) {
            val service = random.nextInt(3) == 0
            val taskCount = random.nextInt(1, 5)
            val zones = listOf("", "", "", " oneZone=true", " spread=true", " zone=x").random(random)
            val priority = if (service) "urgent" else listOf("standard", "best_effort", "urgent").random(random)
            val shape = if (service) "kind=service" else "run=${random.nextInt(2, 40)}"
            val spot = if (!service && random.nextBoolean()) " spot=true" else ""
            val from = time(2.0, LAST - 20.0)
            at(
                from,
                "submit wk-$i team=${listOf(
                    "a",
                    "b",
                    "c",
                ).random(random)} tasks=$taskCount $shape priority=$priority$zones$spot retry=true",
            )
            when (random.nextInt(6)) {
                0 -> at(time(from + 1.0, LAST), "abort wk-$i retry=true")
                1 -> if (!service) at(from, "race-completion wk-$i")
            }
            repeat(3) { at(time(from, LAST), "poll wk-$i via=${controller()}") }
        }
    }

    /** Returns when all controllers are new. Arrays whose progress is stored in large parts are there before. */
    private fun addUpgrade(chance: Random): Double {
        for (i in 1..ARRAYS) {
            val from = Math.round(chance.nextDouble(2.0, LAST - 40.0) * 10) / 10.0
            val jobId = "wk-${200 + i}"
            val team = listOf("a", "b", "c").random(chance)
            at(
                from,
                "submit $jobId team=$team tasks=${chance.nextInt(
                    15,
                    40,
                )} run=${chance.nextInt(1, 5)} spot=${chance.nextBoolean()} retry=true",
            )
            if (chance.nextInt(5) == 0) at(from + chance.nextInt(1, 30), "abort $jobId retry=true")
        }
        var turn = chance.nextDouble(8.0, 30.0)
        for (controller in (0 until MEMBERS).shuffled(chance)) {
            at(turn, "upgrade n$controller")
            at(turn + chance.nextDouble(0.2, 6.0), "start n$controller")
            turn += chance.nextDouble(0.1, 15.0)
        }
        at(turn + chance.nextDouble(0.0, if (chance.nextBoolean()) 3.0 else 25.0), "lower-store-limits")
        return turn
    }

    /**
     * Controllers change their versions in any order, also back at the wrong moment; a process that does not fit ends
     * by itself. In the end all are new, and the gates come to what was wished last.
     */
    private fun addRollout(chance: Random) {
        fun moment(from: Double, to: Double) = Math.round(chance.nextDouble(from, to) * 10) / 10.0
        val features = listOf("fenced-tokens", "dense-pages")
        repeat(chance.nextInt(2, 7)) {
            val wish = listOf("enable", "enable", "revert").random(chance)
            at(moment(5.0, LAST), "operator $wish ${features.random(chance)} by=${it % 2} any-result")
        }
        repeat(chance.nextInt(1, 6)) {
            val controller = "n${chance.nextInt(MEMBERS)}"
            val from = moment(8.0, LAST - 10.0)
            at(from, "version $controller ${chance.nextInt(0, 4)}")
            at(moment(from + 0.1, from + if (chance.nextBoolean()) 0.6 else 20.0), "start $controller")
        }
        if (chance.nextBoolean()) at(moment(20.0, LAST), "operator exclude n${chance.nextInt(MEMBERS)} any-result")
        if (chance.nextBoolean()) at(moment(10.0, LAST), "operator drain n${chance.nextInt(MEMBERS)} any-result")
        for (i in 0 until MEMBERS) {
            at(LAST - 0.2, "version n$i 3")
            at(LAST - 0.1 + i * 0.1, "start n$i")
        }
        val enabled = chance.nextBoolean()
        for (feature in if (enabled) features else features.reversed()) {
            // A dependency is taken back only after what depends on it.
            val wishes = if (enabled || feature == "dense-pages") listOf(LAST + 3.0) else listOf(LAST + 60.0)
            wishes.forEach { at(it, "operator ${if (enabled) "enable" else "revert"} $feature any-result") }
            at(LAST + 215, "expect gate $feature ${if (enabled) "enabled" else "reverted"}")
        }
        at(LAST + 216, "expect form token ${if (enabled) "fenced" else "open"}")
    }

    /** Gangs among the other jobs of the day, which are the same without them. */
    private fun addGangs(chance: Random, notBefore: Double) {
        for (i in 1..GANGS) {
            val jobId = "wk-${100 + i}"
            val taskCount = chance.nextInt(2, 9)
            val zones = listOf("", " oneZone=true", " oneZone=true", " spread=true", " zone=y").random(chance)
            val priority = listOf("standard", "best_effort", "urgent").random(chance)
            val saves = if (chance.nextBoolean()) " checkpoint=${chance.nextInt(2, 20)}" else ""
            val from = Math.round(chance.nextDouble(maxOf(2.0, notBefore), LAST - 20.0) * 10) / 10.0
            val team = listOf("a", "b", "c").random(chance)
            val image = if (chance.nextBoolean()) " imageGb=${chance.nextInt(1, 6)}" else ""
            at(
                from,
                "submit $jobId kind=gang team=$team tasks=$taskCount run=${chance.nextInt(
                    2,
                    40,
                )} priority=$priority$zones$saves$image retry=true",
            )
            when (chance.nextInt(6)) {
                0 -> at(from + chance.nextInt(1, 30), "abort $jobId retry=true")
                1 -> at(from, "race-completion $jobId")
            }
        }
    }

    /** On some days an outage meets controllers that do not reach each other, or one that ends within it. */
    private fun outageBesideTroubleOfPeers() {
        val kind = random.nextInt(6)
        if (kind > 2) return
        val from = time(15.0, 50.0)
        val controller = controller()
        at(from, "store-outage ${time(10.0, 60.0)}")
        val then = time(from - 3.0, from + 8.0)
        when (kind) {
            0 -> {
                at(then, "partition-from-peers $controller on")
                at(time(then + 1.0, LAST), "partition-from-peers $controller off")
            }

            1 -> {
                at(then, "crash $controller")
                at(time(then + 0.1, then + 1.0), "start $controller")
            }

            else -> {
                at(time(from - 8.0, from), "partition-from-store $controller on")
                at(time(from + 1.0, LAST), "partition-from-store $controller off")
            }
        }
    }

    private fun trouble(from: Double) {
        val long = time(from + 1.0, LAST)
        val short = time(from + 1.0, minOf(from + 20.0, LAST))
        fun switch(what: String, until: Double) {
            at(from, "$what on")
            at(until, "$what off")
        }
        val controller = controller()
        val machine = machine()
        when (random.nextInt(24)) {
            0 -> at(from, "store-outage ${short - from}")
            1 -> at(from, "store-outage ${long - from}")
            2 -> switch("partition-from-store $controller", long)
            3 -> {
                switch("partition-from-store $controller", long)
                switch("partition-from-peers $controller", long)
            }
            4 -> switch("partition-from-workers $controller", long)
            5 -> {
                at(from, "crash $controller")
                at(time(from + 0.1, from + 1.0), "start $controller")
            }
            6 -> {
                at(from, "crash $controller")
                at(long, "start $controller")
            }
            7 -> {
                at(from, "crash n0 n1 n2")
                for (i in 0 until MEMBERS) at(time(from + 0.2, short), "start n$i")
            }
            8 -> at(from, "pause $controller ${short - from}")
            9 -> at(from, "hang $machine ${short - from}")
            10 -> switch("partition-machine $machine", long)
            11 -> switch("set-unreachable $machine", long)
            12 -> switch("block-reports $machine", long)
            13 -> {
                at(from, "delayed-commit-rate 0.2")
                at(long, "delayed-commit-rate 0")
            }
            14 -> {
                at(from, "repeat-reports $machine ${random.nextInt(2, 40)}")
                at(long, "repeat-reports $machine 0")
            }
            15 -> {
                at(from, "repeat-direct-calls ${random.nextInt(2, 30)}")
                at(long, "repeat-direct-calls 0")
            }
            17 -> at(from, "delay-direct-calls ${random.nextInt(2, 40)}")

            18 -> {
                at(from, "delay-job-watch $controller ${random.nextInt(2, 60)}")
                at(long, "delay-job-watch $controller 0")
            }

            19 -> {
                at(from, "slow-store ${random.nextInt(5, 40)}")
                at(long, "slow-store 1")
            }

            20 -> at(from, "kill-machine $machine")

            21 -> switch("set-unhealthy $machine", long)

            22 -> switch("cloud-outage", long)

            23 -> switch("lose-report-replies $machine", long)

            16 -> switch("partition-zone ${if (random.nextBoolean()) "x" else "y"}", long)
        }
    }

    private companion object {
        const val MEMBERS = 3
        const val MACHINES = 6
        const val JOBS = 12
        const val GANGS = 6
        const val ARRAYS = 5
        const val UPGRADE_SEED = 0x5eedL
        const val ROLLOUT_SEED = 0x6a7eL
        const val CONTESTED_SEED = 0x3c0dL
        const val RENTAL_SEED = 0x2e47L

        /** Gangs start whole or not at all: enough machines that the largest ones fit beside all services. */
        const val ROOM_FOR_GANGS = 6
        const val LAST = 110.0
    }
}
