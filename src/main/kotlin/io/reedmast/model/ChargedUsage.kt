package io.reedmast.model

import io.reedmast.settings.TeamId
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import java.util.TreeMap
import kotlin.math.roundToLong

/**
 * Resource usage charged to the teams of a shard over a sliding window, in buckets of wall time.
 *
 * For each second, a task is charged its dominant share of its machine: the largest of its shares of the machine's
 * CPUs, GPUs and memory. Best-effort work has no protected minimum and is not charged.
 */
class ChargedUsage(private val windowMs: Long) {
    private val bucketMs = maxOf(1L, windowMs / BUCKETS)

    /** Charged machine seconds by team and bucket number. */
    private val bucketsByTeam = HashMap<TeamId, TreeMap<Long, Double>>()

    /** Adds recent usage of the team, in machine seconds. [nowMs] is wall time, as in all functions of this class. */
    fun charge(team: TeamId, machineSeconds: Double, nowMs: Long) {
        bucketsByTeam.getOrPut(team) { TreeMap() }.merge(nowMs / bucketMs, machineSeconds, Double::plus)
    }

    /** Machine seconds charged to [team] within the window; the oldest bucket counts by its part inside the window. */
    fun chargedInWindow(team: TeamId, nowMs: Long): Double {
        val buckets = bucketsByTeam[team] ?: return 0.0
        val windowStart = nowMs - windowMs
        buckets.headMap(Math.floorDiv(windowStart, bucketMs)).clear()
        var sum = 0.0
        for ((bucket, amount) in buckets) {
            val bucketStart = bucket * bucketMs
            sum += if (bucketStart >= windowStart) {
                amount
            } else {
                amount * (bucketStart + bucketMs - windowStart) / bucketMs
            }
        }
        return sum
    }

    /**
     * The stored form: for each team a list of numbers, alternating between bucket and amount.
     *
     * To fit a small record, at most [maxBuckets] of each team are stored: the amounts of older buckets are added to
     * the oldest one that is kept.
     */
    fun toFields(teams: Collection<TeamId>, maxBuckets: Int = BUCKETS + 1): Fields = teams
        .filter { it in bucketsByTeam }
        .associate { it.value.toString() to flatten(bucketsByTeam.getValue(it), maxBuckets) }

    private fun flatten(buckets: TreeMap<Long, Double>, maxBuckets: Int): List<Long> {
        val kept = buckets.entries.drop(maxOf(0, buckets.size - maxBuckets))
        val older = buckets.entries.take(buckets.size - kept.size).sumOf { it.value }
        return kept.flatMapIndexed { i, (bucket, amount) ->
            val total = if (i == 0) amount + older else amount
            listOf(bucket, total.roundToLong())
        }
    }

    /** Replaces the usage of the teams listed in [fields], which is in the form of [toFields]. */
    fun load(fields: Fields) {
        for ((team, numbers) in fields) {
            val index = team.toIntOrNull() ?: throw MalformedException("usage: team is not a number: $team")
            bucketsByTeam[TeamId(index)] = parseBuckets(team, numbers)
        }
    }

    private fun parseBuckets(team: String, value: Any?): TreeMap<Long, Double> {
        val numbers = value as? List<*> ?: throw MalformedException("usage of team $team is not a list")
        val buckets = TreeMap<Long, Double>()
        for (i in 0 until numbers.size - 1 step 2) {
            val bucket = numbers[i] as? Long
                ?: throw MalformedException("usage of team $team: bucket is not an integer")
            val amount = numbers[i + 1] as? Number
                ?: throw MalformedException("usage of team $team: amount is not a number")
            buckets[bucket] = amount.toDouble()
        }
        return buckets
    }

    private companion object {
        const val BUCKETS = 36
    }
}
