package io.reedmast.autoscaling

import io.reedmast.sim.Scenario
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

/**
 * Guards against a race: a worker boots at once and sends its first heartbeat before the cloud has answered the rental
 * of its machine.
 *
 * The leader found that the machine belonged to no shard and assigned it to the shard with the fewest CPUs. While that
 * write was in flight, the answer to the rental arrived, for another shard, and the leader added the machine there as
 * well. Both owners placed work on it; one of them received no heartbeats from it and returned it while the other's
 * work was running there. The simulated store then reports "in_two_shards host-000000: c/hosts/1/0 and c/hosts/0/0";
 * the controllers log "machine host-000000: sends heartbeats and belongs to no shard, assigned to shard 0", then
 * "machines [host-000000]: rented for shard 1", then "added to shard 0" and "added to shard 1" with two revisions.
 *
 * The time of the answer is varied over all stages of the intake. Besides, the answer is lost and the request repeated
 * under its name, the write is slow, unanswered or late, and the leader crashes, stalls or is cut off around that time.
 */
class RentalRaceTest {
    /** What else goes wrong while machines are being rented, with times in seconds. */
    private enum class Fault(val lines: List<String>) {
        NONE(emptyList()),
        ANSWER_LOST(listOf("at 8.5 lose-rental-replies 1")),
        ANSWERS_LOST(listOf("at 8.5 lose-rental-replies 2")),
        WRITE_WITHOUT_ANSWER(listOf("at 8.5 lose-commit-reply n0 c/hosts/0", "at 8.5 lose-commit-reply n1 c/hosts/0")),
        WRITE_LATE(listOf("at 8.5 delay-commit n0 6 c/hosts/0")),
        LEADER_CRASHES(listOf("at 9.6 crash n0", "at 10.5 start n0")),
        LEADER_CRASHES_LATER(listOf("at 9.9 crash n0", "at 10 start n0")),
        LEADER_STALLED(listOf("at 9.6 pause n0 7")),
        LEADER_DEPOSED(listOf("at 9.6 partition-from-store n0 on", "at 20 partition-from-store n0 off")),
    }

    @TestFactory
    fun `no machine is assigned to two shards`(): List<DynamicTest> = Fault.entries.map { fault ->
        DynamicTest.dynamicTest(fault.name) {
            for (answerMs in ANSWER_TIMES_MS) {
                for (slowness in SLOWNESSES) runScenario(fault, answerMs, slowness)
            }
        }
    }

    private fun runScenario(fault: Fault, answerMs: Long, slowness: Int) {
        val events = listOf(
            "at 1 delay-rental-replies ${answerMs / MS_PER_S}",
            "at 8 slow-store $slowness",
            "at 9 submit wk-1 team=b tasks=2 kind=service priority=urgent retry=true",
            "at 9 submit wk-2 team=c tasks=6 kind=service priority=urgent retry=true",
            "at 30 slow-store 1",
            "at 80 expect running wk-1 2",
            "at 80 expect running wk-2 6",
            "at 80 expect starts wk-1 2",
            "at 80 expect starts wk-2 6",
        )
        val lines = SETUP + (events + fault.lines).sortedBy { it.split(' ')[1].toDouble() }
        try {
            Scenario(lines).run()
        } catch (e: AssertionError) {
            throw AssertionError("$fault, $answerMs ms, slowness $slowness: ${e.message}", e)
        }
    }

    private companion object {
        const val MS_PER_S = 1000.0
        val ANSWER_TIMES_MS = listOf<Long>(1, 10, 20, 40, 60, 80, 100, 120, 150, 200, 250, 300, 400, 800, 2_500)

        val SLOWNESSES = listOf(1, 10, 40)
        val SETUP = listOf("team a 8 12", "team b 8 12", "team c 8 12", "machine-type m 4 0", "capacity 8")
    }
}
