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
    private val charged = HashMap<TeamId, TreeMap<Long, Double>>()

    fun charge(team: TeamId, machineSeconds: Double, nowMs: Long) {
        charged.getOrPut(team) { TreeMap() }.merge(nowMs / bucketMs, machineSeconds, Double::plus)
    }

    /** Machine seconds charged to [team] within the window; the oldest bucket counts by the part still inside. */
    fun within(team: TeamId, nowMs: Long): Double {
        val buckets = charged[team] ?: return 0.0
        val edge = nowMs - windowMs
        buckets.headMap(Math.floorDiv(edge, bucketMs)).clear()
        var sum = 0.0
        for ((bucket, amount) in buckets) {
            val begin = bucket * bucketMs
            sum += if (begin >= edge) amount else amount * (begin + bucketMs - edge) / bucketMs
        }
        return sum
    }

    /** At most [maxBuckets] of each team: the oldest are added to the next ones, which a small record has room for. */
    fun toFields(teams: Collection<TeamId>, maxBuckets: Int = BUCKETS + 1): Fields =
        teams.filter { it in charged }.associate { team ->
            val buckets = charged.getValue(team)
            val kept = buckets.entries.drop(maxOf(0, buckets.size - maxBuckets))
            val older = buckets.entries.take(buckets.size - kept.size).sumOf { it.value }
            team.value.toString() to
                kept.flatMapIndexed { i, (bucket, amount) ->
                    listOf(
                        bucket,
                        (
                            if (i ==
                                0
                            ) {
                                amount + older
                            } else {
                                amount
                            }
                            ).roundToLong(),
                    )
                }
        }

    /** Takes up stored totals in place of what is known of their teams. */
    fun load(fields: Fields) {
        for ((team, flat) in fields) {
            val index = team.toIntOrNull() ?: throw MalformedException("usage names no team: $team")
            val numbers = flat as? List<*> ?: throw MalformedException("usage of team $team is no list")
            val buckets = TreeMap<Long, Double>()
            for (i in 0 until numbers.size - 1 step 2) {
                val bucket = numbers[i] as? Long ?: throw MalformedException("usage of team $team names no bucket")
                buckets[bucket] =
                    (numbers[i + 1] as? Number)?.toDouble()
                        ?: throw MalformedException("usage of team $team is no number")
            }
            charged[TeamId(index)] = buckets
        }
    }

    private companion object {
        const val BUCKETS = 36
    }
}
