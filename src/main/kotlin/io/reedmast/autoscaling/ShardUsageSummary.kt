package io.reedmast.autoscaling

import io.reedmast.settings.ShardId
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.optionalTexts

/**
 * The summary of a shard that its owner stores every few seconds: its teams' charged usage, and what the leader needs
 * to provision machines and to move them between shards.
 *
 * @property machinesVersion The version of the newest change to the shard's machines that the owner knew.
 * @property usage Charged usage of the shard's teams within the window, in CPU seconds, as
 *   [io.reedmast.model.ChargedUsage] stores it.
 * @property ratio The fair-share ratio, charged usage divided by allocation, of the team that is furthest below its
 *   share among those with pending tasks; 0 if there is none.
 * @property demand Tasks that the shard lacks capacity for, the most urgent first; if there are too many kinds for one
 *   summary, [DemandRotation] says which come first.
 * @property idle Names of the machines that may move to another shard at once.
 * @property drainable Names of the machines that could be drained for another shard, the cheapest to drain first.
 * @property starvingJobs Jobs that are nearly starving, those that have waited longest first.
 * @property unavailableZones Zones that seem to be cut off.
 */
data class ShardUsageSummary(
    val shard: ShardId,
    val machinesVersion: Long,
    val usage: Fields,
    val ratio: Double,
    val demand: List<Demand>,
    val idle: List<String>,
    val drainable: List<String>,
    val starvingJobs: List<StarvingJob>,
    val unavailableZones: List<String>,
) {
    /** The form in which the summary is stored. The shard is part of the key. */
    fun toFields(): Fields = mapOf(
        "hosts" to machinesVersion,
        "usage" to usage,
        "ratio" to ratio,
        "demand" to demand.map { it.toFields() },
        "idle" to idle,
        "lendable" to drainable,
        "starving" to starvingJobs.map { it.toFields() },
        "dark" to unavailableZones,
    )

    /**
     * The summary with as much left out as necessary to fit in [maxBytes] once stored. Long lists of machines are
     * shortened before demand is left out; the last names of machines are left out after it.
     */
    fun truncatedTo(maxBytes: Int): ShardUsageSummary {
        var summary = this
        while (BodyCodec.jsonSize(summary.toFields()) > maxBytes) summary = summary.withoutNextPart() ?: return summary
        return summary
    }

    /** The summary with its next part left out; null if there is nothing more to leave out. */
    private fun withoutNextPart(): ShardUsageSummary? = when {
        idle.size > HALVING_THRESHOLD -> copy(idle = idle.take(idle.size / 2))
        drainable.size > HALVING_THRESHOLD -> copy(drainable = drainable.take(drainable.size / 2))
        demand.size > 1 -> copy(demand = demand.dropLast(1))
        starvingJobs.size > 1 -> copy(starvingJobs = starvingJobs.dropLast(1))
        idle.isNotEmpty() || drainable.isNotEmpty() -> copy(idle = emptyList(), drainable = emptyList())
        else -> null
    }

    companion object {
        private const val HALVING_THRESHOLD = 6

        /**
         * Reads what [toFields] wrote.
         *
         * @throws io.reedmast.wire.MalformedException if a field is missing or of another type.
         */
        fun parse(shard: ShardId, fields: Fields) = ShardUsageSummary(
            shard = shard,
            machinesVersion = fields.count("hosts"),
            usage = fields.map("usage"),
            ratio = fields.amount("ratio"),
            demand = fields.maps("demand").map { Demand.parse(it) },
            idle = fields.list("idle").filterIsInstance<String>(),
            drainable = fields.optionalTexts("lendable").orEmpty(),
            starvingJobs = if (fields["starving"] == null) {
                emptyList()
            } else {
                fields.maps("starving").map { StarvingJob.parse(it) }
            },
            unavailableZones = fields.optionalTexts("dark").orEmpty(),
        )
    }
}
