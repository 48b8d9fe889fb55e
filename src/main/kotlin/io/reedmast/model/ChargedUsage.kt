package io.reedmast.model

import io.reedmast.settings.TeamId
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import java.util.TreeMap
import kotlin.math.roundToLong

/**
 * Charged use of the teams of a shard over a sliding window, in buckets of time of day.
 *
 * A task is charged, for each second, its largest share of its machine. Best-effort work has no protected minimum and
 * is not charged.
 */
class ChargedUsage(private val windowMs: Long) {
    private val bucketMs = maxOf(1L, windowMs / BUCKETS)

    /** Machine seconds by team and by number of the bucket. */
    private val charged = HashMap<TeamId, TreeMap<Long, Double>>()

    /** Adds what the team has used lately, in machine seconds; [nowMs] is wall time, as everywhere here. */
    fun charge(team: TeamId, machineSeconds: Double, nowMs: Long) {
        charged.getOrPut(team) { TreeMap() }.merge(nowMs / bucketMs, machineSeconds, Double::plus)
    }

    /** Machine seconds charged to [team] within the window; the oldest bucket counts by the part still inside. */
    fun chargedInWindow(team: TeamId, nowMs: Long): Double {
        val buckets = charged[team] ?: return 0.0
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
     * The stored form: for each team a list of numbers, bucket and amount in turn.
     *
     * At most [maxBuckets] of each team: the oldest are added to the next ones, which a small record has room for.
     */
    fun toFields(teams: Collection<TeamId>, maxBuckets: Int = BUCKETS + 1): Fields = teams
        .filter { it in charged }
        .associate { it.value.toString() to flatten(charged.getValue(it), maxBuckets) }

    private fun flatten(buckets: TreeMap<Long, Double>, maxBuckets: Int): List<Long> {
        val kept = buckets.entries.drop(maxOf(0, buckets.size - maxBuckets))
        val older = buckets.entries.take(buckets.size - kept.size).sumOf { it.value }
        return kept.flatMapIndexed { i, (bucket, amount) ->
            val total = if (i == 0) amount + older else amount
            listOf(bucket, total.roundToLong())
        }
    }

    /** Replaces what is known of the teams that [fields], as made by [toFields], names. */
    fun load(fields: Fields) {
        for ((team, numbers) in fields) {
            val index = team.toIntOrNull() ?: throw MalformedException("usage names no team: $team")
            charged[TeamId(index)] = parseBuckets(team, numbers)
        }
    }

    private fun parseBuckets(team: String, value: Any?): TreeMap<Long, Double> {
        val numbers = value as? List<*> ?: throw MalformedException("usage of team $team is no list")
        val buckets = TreeMap<Long, Double>()
        for (i in 0 until numbers.size - 1 step 2) {
            val bucket = numbers[i] as? Long ?: throw MalformedException("usage of team $team names no bucket")
            val amount = numbers[i + 1] as? Number ?: throw MalformedException("usage of team $team is no number")
            buckets[bucket] = amount.toDouble()
        }
        return buckets
    }

    private companion object {
        const val BUCKETS = 36
    }
}
