package io.reedmast.model

import io.reedmast.settings.TeamId

/**
 * Limits the placements of a shard by number, beside those by size: tasks may be so small that the shard's machines
 * have room for more of them than the owner's memory.
 *
 * Two counts are limited, each by a [SharedLimit]: all placements, and those that wait to be stored.
 *
 * @param maxPlacements the placements that the owner may hold
 * @param teamCount the number of teams in the settings
 */
class PlacementLimits(maxPlacements: Int, teamCount: Int) {
    private val placements = SharedLimit(maxPlacements, teamCount)
    private val unstored = SharedLimit(MAX_UNSTORED, teamCount)

    /** The placements of the shard, stored or not. */
    val placedCount: Int get() = placements.used

    /** The placements that are not stored yet. */
    val unstoredCount: Int get() = unstored.used

    /** Whether one more task of the job may be placed; of a gang, whether all of them may. */
    fun allows(job: Job): Boolean = if (job.spec.isGang) allowsGang(job) else allowsTask(job)

    private fun allowsTask(job: Job): Boolean {
        val isFirst = job.placedCount == 0
        return placements.allowsOneMore(job.team, isFirst) && unstored.allowsOneMore(job.team, isFirst)
    }

    /** A gang that is larger than what may wait to be stored is placed when nothing else waits. */
    private fun allowsGang(job: Job): Boolean = job.spec.taskCount <= placements.free &&
        (job.spec.taskCount <= unstored.free || unstoredCount == 0)

    /** Counts a placement that has just been added to its job. */
    internal fun recordPlaced(placement: Placement) {
        placements.count(placement.job.team, +1)
        if (!placement.committed) unstored.count(placement.job.team, +1)
    }

    /** Counts that the store now holds the placement, which has not ended. */
    internal fun recordStored(placement: Placement) = unstored.count(placement.job.team, -1)

    /** Stops counting a placement that ends. */
    internal fun recordEnded(placement: Placement) {
        placements.count(placement.job.team, -1)
        if (!placement.committed) unstored.count(placement.job.team, -1)
    }

    private companion object {
        /** A few dozen pages, which the store takes in about a second. */
        const val MAX_UNSTORED = 4_000
    }
}

/**
 * A number of units of which a part is kept for those who use few: an eighth for the teams, in equal parts, and another
 * eighth for the first tasks of jobs. Many small tasks of one team then keep neither other teams waiting nor its own
 * other jobs.
 */
internal class SharedLimit(private val max: Int, teamCount: Int) {
    private val reserved = max / RESERVED_DIVISOR
    private val reservedPerTeam = reserved / teamCount
    private val usedByTeam = IntArray(teamCount)

    /** The units in use. */
    var used = 0
        private set

    /** The units that are not in use. */
    val free: Int get() = max - used

    /** Whether the team may use one more unit, for the first task of a job if [isFirst]. */
    fun allowsOneMore(team: TeamId, isFirst: Boolean): Boolean =
        usedByTeam[team.value] < reservedPerTeam || free > if (isFirst) reserved else 2 * reserved

    /** Adds [change] to the units that the team uses. */
    fun count(team: TeamId, change: Int) {
        used += change
        usedByTeam[team.value] += change
    }

    private companion object {
        const val RESERVED_DIVISOR = 8
    }
}
