package io.reedmast.sim

import io.reedmast.cluster.TokenCounter
import io.reedmast.model.FencingToken
import io.reedmast.wire.TaskId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** What the lines `snapshot-...` of a scenario have recorded, for expectations that compare with it. */
internal class ScenarioSnapshots {
    /** How many writes had been stored. */
    var writeCount = 0

    /** Where the tasks of each job were, and under which attempts. */
    val attempts = HashMap<String, Map<TaskId, Pair<String, Long>>>()
}

/** Checks the `expect` lines of a [Scenario]. */
internal class ScenarioExpectations(
    private val world: World,
    private val rolloutOperator: SimOperator,
    private val snapshots: ScenarioSnapshots,
) {
    /** Checks the expectation [words] of which [args] are the parts `NAME=VALUE`; throws if it is not met. */
    fun check(words: List<String>, args: Map<String, String>) {
        val at = "at ${world.now() / 1000.0} s: ${words.joinToString(" ")}"
        when (words[0]) {
            // The state of a job as answered by every controller, or by the one named by `via`.
            "stage" -> {
                val asked = world.controllers.filter { it.up && (args["via"] == null || it.label == args["via"]) }
                val polledStates = ArrayList<String>()
                asked.forEach { controller ->
                    controller.sendRequest(words[1], { c, answer -> c.poll(words[1], answer) }) {
                        polledStates.add(
                            (
                                it.job?.state?.wireName
                                    ?: it.status
                                ).toString(),
                        )
                    }
                }
                // Users wait 2 s for an answer.
                val deadline = world.now() + 2_000
                while (polledStates.size < asked.size && world.now() < deadline) world.runUntil(world.now() + 50)
                assertEquals(asked.map { words[2] }, polledStates, at)
            }

            "running" -> {
                val running = world.workers.values.sumOf { w -> w.startedTasks().count { it.jobId == words[1] } }
                assertEquals(words[2].toInt(), running, at)
            }

            "running-in-zone" -> {
                val running = world.workers.values.filter { it.zone == words[1] }.sumOf { w ->
                    w.startedTasks().count {
                        it.jobId ==
                            words[2]
                    }
                }
                assertEquals(words[3].toInt(), running, at)
            }

            "running-at-least" -> {
                val running = world.workers.values.sumOf { w -> w.startedTasks().count { it.jobId == words[1] } }
                assertTrue(running >= words[2].toInt(), "$at: $running tasks are running")
            }

            "machines" -> assertEquals(words[1].toInt(), world.workers.size, at)

            "none-returned" -> assertEquals(emptyList<String>(), world.returnedMachines, at)

            "returned" -> assertTrue(
                words[1] in world.returnedMachines,
                "$at: the returned machines are ${world.returnedMachines}",
            )

            "starts" -> assertEquals(words[2].toInt(), world.rules.startCounts[words[1]] ?: 0, at)

            // At least one of its tasks has begun to run.
            "started" -> assertTrue(
                (world.rules.startCounts[words[1]] ?: 0) > 0,
                "$at: no task of ${words[1]} has started",
            )

            "done-at-least" -> {
                val done = world.jobs.getValue(words[1]).completedTasks.size
                assertTrue(done >= words[2].toInt(), "$at: $done tasks are done")
            }

            "not-returned" -> assertTrue(
                words[1] in world.workers,
                "$at: the returned machines are ${world.returnedMachines}",
            )

            // No controller has overwritten the unreadable record.
            "still-corrupt" -> assertEquals(mapOf<String, Any?>("form" to 0L), world.store.get(words[1])?.value, at)

            // The number of shards whose records name the machine.
            "shard-record-count" -> assertEquals(words[2].toInt(), world.store.shardsListing(words[1]).size, at)

            // The records of this shard, and of no other, name the machine.
            "recorded-only-in" -> assertEquals(listOf(words[2].toInt()), world.store.shardsListing(words[1]), at)

            // No controller assigns the machine to any shard.
            "in-no-shard" -> assertTrue(
                world.controllers.none {
                    it.process?.cluster?.shardOfMachine(words[1]) != null
                },
                at,
            )

            "healthy" -> assertEquals(
                words[2].toBoolean(),
                world.controllers.first {
                    it.label == words[1]
                }.process?.healthy(),
                at,
            )

            // Every controller answers about every job that was accepted.
            "all-jobs-answered" -> {
                val unanswered = HashSet<String>()
                for (jobId in world.rules.answeredStates.keys) {
                    for (asked in world.controllers.filter { it.up }) {
                        unanswered.add("$jobId by ${asked.label}")
                        asked.sendRequest(jobId, { c, answer -> c.poll(jobId, answer) }) {
                            if (it.status ==
                                200
                            ) {
                                unanswered.remove("$jobId by ${asked.label}")
                            }
                        }
                    }
                }
                world.runUntil(world.now() + 2_000)
                assertEquals(emptySet<String>(), unanswered, at)
            }

            // Accepted arrays have run to their end, services run with all replicas, no cancelled job runs any more.
            "settled" -> assertEquals(emptyList<String>(), world.rules.unsettled(), at)

            // The tasks of the job are on the same machines under the same attempts as in the snapshot: none was
            // placed again.
            "same-attempts" -> assertEquals(snapshots.attempts[words[1]], world.attempts(words[1]), at)

            // How many shard acquisitions there have been since the first start.
            "shard-acquisitions" -> assertEquals(
                words[1].toLong(),
                FencingToken.acquisitionCount(TokenCounter.tokenOf(world.store.get("c/token")?.value.orEmpty())),
                at,
            )

            // `reverted` means dormant, or ready to be enabled again.
            "gate" -> {
                val state = rolloutOperator.gateState(words[1])
                val expected = if (words[2] == "reverted") setOf("dormant", "ready") else setOf(words[2])
                assertTrue(state in expected, "$at: the gate is $state, wait reasons: ${rolloutOperator.waitReasons()}")
            }

            // The stored formats of pages, or of the token counter.
            "form" -> assertEquals(words[2], rolloutOperator.formsOf(words[1]).sorted().joinToString("+"), at)

            // The controller's process has ended by itself, since its version does not support what is rolled out.
            "self-terminated" -> assertTrue(
                world.controllers.first {
                    it.label == words[1]
                }.terminationReason != null,
                at,
            )

            "owns" -> assertEquals(
                words[2].toInt(),
                world.controllers.first { it.label == words[1] }.process?.cluster?.activeOwners()?.size ?: 0,
                at,
            )

            // Nothing has been stored since `snapshot-write-count`.
            "no-writes" -> assertEquals(snapshots.writeCount, world.store.writeCount, at)

            // No worker's lease has expired with tasks on the worker.
            "no-lease-expired" -> assertEquals(0, world.leasesExpiredWithTasks, at)

            // Exactly one controller leads, and all running controllers agree which.
            "one-leader" -> {
                assertEquals(1, world.controllers.count { it.process?.cluster?.leading == true }, at)
                assertEquals(
                    1,
                    world.controllers.filter {
                        it.up
                    }.map { it.process?.cluster?.leader }.distinct().size,
                    at,
                )
            }
            else -> error("unknown expectation ${words[0]}")
        }
    }
}
