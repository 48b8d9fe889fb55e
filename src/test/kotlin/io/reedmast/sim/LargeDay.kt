package io.reedmast.sim

import kotlin.random.Random

/**
 * A day by chance at production size, made from its seed.
 *
 * @property upgrade whether controllers are upgraded one after the other
 * @property rollout whether features are rolled out and taken back
 * @property rentals whether most machines are rented during the day, boot at once and report before the rental is answered
 */
class LargeDay(
    private val seed: Long,
    private val upgrade: Boolean = false,
    private val rollout: Boolean = false,
    private val rentals: Boolean = false,
    machines: Int? = null,
    jobs: Int? = null,
) {
    private val random = Random(seed)
    private val machines = machines ?: if (seed % LARGEST_EACH == 0L) LARGEST else random.nextInt(150, 500)
    private val jobs = jobs ?: if (seed % LARGEST_EACH == 0L) 900 else random.nextInt(200, 400)
    private val events = ArrayList<Pair<Double, String>>()
    private val troubles = ArrayList<Pair<Double, String>>()

    private fun time(from: Double, to: Double) = Math.round(random.nextDouble(from, to) * 100) / 100.0

    private fun controller() = "n${random.nextInt(MEMBERS)}"

    private fun machine() = "host-%06d".format(random.nextInt(machines))

    fun troubles(): List<String> = troubles.sortedBy { it.first }.map { "at ${it.first} ${it.second}" }

    fun lines(): List<String> {
        repeat(jobs) { job(it) }
        repeat(random.nextInt(5, 12)) { trouble(time(12.0, LAST - 25.0)) }
        if (upgrade) addUpgrade(Random(-seed))
        if (rollout) addRollout(Random(seed xor ROLLOUT_SEED))
        val ends = listOf(
            2.0 to "poll-all 5",
            LAST to "faults-over",
            LAST + 60 to "expect all-jobs-answered",
            LAST + 60 to "expect one-leader",
            LAST + 200 to "expect settled",
            LAST + 201 to "expect all-jobs-answered",
        )
        if (rentals) addSlowRentals(Random(seed xor RENTAL_SEED))
        val atStart = if (rentals) machines / RENTED_PART else machines
        val zone = atStart / 2
        val head = listOf(
            "seed $seed",
            "capacity ${machines + machines / 4}",
            "value-kb 8",
            "store-limits 60 40 400",
            if (rentals) "machine-type m 8 0.2" else "machine-type m 8 5",
            "machines $zone m x",
            "machines ${atStart - zone - zone / 2} m y",
            "machines ${zone / 2} m y spot",
        ) + (if (upgrade) listOf("next-store-limits 2 5", "predates-rollouts n0 n1 n2") else emptyList()) +
            (0 until TEAMS).map { "team t$it ${machines / 2} ${machines * 2}" }
        return head + (events + troubles + ends).sortedBy { it.first }.map { "at ${it.first} ${it.second}" }
    }

    private fun job(index: Int) {
        val service = random.nextInt(3) == 0
        val taskCount = if (service) {
            random.nextInt(
                1,
                5,
            )
        } else {
            listOf(1, 1, 1, random.nextInt(2, 40), random.nextInt(40, 150)).random(random)
        }
        val shape = if (service) {
            "kind=service priority=urgent"
        } else {
            "run=${random.nextInt(
                2,
                25,
            )} spot=${random.nextBoolean()}"
        }
        val zones = listOf("", "", "", "", " zone=x", " oneZone=true").random(random)
        // Half of all jobs come in bursts, as users do once a trouble is over.
        val from = if (random.nextBoolean()) time(3.0, LAST - 15.0) else random.nextInt(1, 6) * 15.0 + time(0.0, 0.3)
        val team = "t${random.nextInt(TEAMS)}"
        events.add(from to "submit wk-$index team=$team tasks=$taskCount $shape$zones retry=true")
        when (random.nextInt(6)) {
            0 -> events.add(time(from + 0.5, LAST) to "abort-everywhere wk-$index")
            1 -> events.add(time(from + 0.05, from + 4.0) to "abort-everywhere wk-$index")
            2 -> if (!service && taskCount < 20) events.add(from to "race-completion wk-$index")
        }
    }

    private fun addUpgrade(chance: Random) {
        var turn = chance.nextDouble(10.0, 25.0)
        for (controller in (0 until MEMBERS).shuffled(chance)) {
            at(turn, "upgrade n$controller")
            at(turn + chance.nextDouble(0.5, 5.0), "start n$controller")
            turn += chance.nextDouble(1.0, 12.0)
        }
        at(turn + chance.nextDouble(0.0, 20.0), "lower-store-limits")
        for (i in 1..jobs / GANGS_PART) {
            val from = Math.round(chance.nextDouble(turn, LAST - 15.0) * 100) / 100.0
            val zones = if (chance.nextBoolean()) " oneZone=true" else ""
            val team = "t${chance.nextInt(TEAMS)}"
            events.add(
                from to
                    "submit wk-${1_000_000 + i} kind=gang team=$team tasks=${chance.nextInt(
                        2,
                        40,
                    )} run=${chance.nextInt(2, 25)}$zones retry=true",
            )
        }
    }

    private fun addRollout(chance: Random) {
        val features = listOf("fenced-tokens", "dense-pages")
        for (feature in features) {
            at(
                Math.round(chance.nextDouble(20.0, 45.0) * 10) / 10.0,
                "operator enable $feature any-result",
            )
        }
        at(Math.round(chance.nextDouble(50.0, LAST) * 10) / 10.0, "operator revert dense-pages any-result")
        for (feature in features) {
            at(LAST + 5, "operator enable $feature")
            at(LAST + 199, "expect gate $feature enabled")
        }
    }

    private fun addSlowRentals(chance: Random) {
        fun moment() = Math.round(chance.nextDouble(2.0, LAST) * 10) / 10.0
        at(1.0, "delay-rental-replies 0.4")
        repeat(8) {
            at(moment(), "delay-rental-replies ${chance.nextInt(1, 60) * 0.02}")
            at(moment(), "lose-rental-replies ${chance.nextInt(1, 4)}")
            at(moment(), "slow-store ${chance.nextInt(1, 20)}")
        }
        at(LAST - 1, "slow-store 1")
    }

    private fun at(seconds: Double, what: String) = troubles.add(seconds to what)

    private fun switch(what: String, from: Double, until: Double, off: String = "off") {
        at(from, "$what on")
        at(until, "$what $off")
    }

    private fun trouble(from: Double) {
        val long = time(from + 5.0, LAST)
        val short = time(from + 1.0, minOf(from + 20.0, LAST))
        val controller = controller()
        when (random.nextInt(17)) {
            0, 1 -> {
                at(from, "delayed-commit-rate ${listOf(0.1, 0.2, 0.3).random(random)}")
                at(long, "delayed-commit-rate 0")
            }

            2, 3 -> {
                at(from, "lost-reply-rate ${listOf(0.1, 0.2, 0.3).random(random)}")
                at(long, "lost-reply-rate 0")
            }

            4, 5 -> {
                at(from, "slow-store ${random.nextInt(5, 40)}")
                at(long, "slow-store 1")
            }

            6 -> at(from, "store-outage ${short - from}")
            7 -> at(from, "store-outage ${time(20.0, 60.0)}")
            8, 9 -> {
                at(from, "crash $controller")
                at(time(from + 0.1, from + 1.0), "start $controller")
            }

            10 -> {
                at(from, "crash n0 n1 n2")
                for (i in 0 until MEMBERS) at(time(from + 0.2, short), "start n$i")
            }

            11 -> switch("partition-from-store $controller", from, long)
            12 -> switch("partition-from-workers $controller", from, long)
            13 -> at(from, "pause $controller ${short - from}")
            14 -> repeat(random.nextInt(3, 30)) { at(from, "hang ${machine()} ${short - from}") }
            15 -> repeat(random.nextInt(3, 30)) {
                val machine = machine()
                at(from, "repeat-reports $machine ${random.nextInt(2, 40)}")
                at(long, "repeat-reports $machine 0")
            }

            16 -> {
                at(from, "repeat-direct-calls ${random.nextInt(2, 30)}")
                at(long, "repeat-direct-calls 0")
                repeat(random.nextInt(1, 10)) { at(from, "kill-machine ${machine()}") }
            }
        }
    }

    private companion object {
        const val ROLLOUT_SEED = 0x6a7eL
        const val RENTAL_SEED = 0x2e47L

        /** One machine of so many is there at the start, if the others are rented during the day. */
        const val RENTED_PART = 4
        const val GANGS_PART = 10
        const val MEMBERS = 3
        const val TEAMS = 6
        const val LAST = 110.0
        const val LARGEST = 1_500
        const val LARGEST_EACH = 8L
    }
}
