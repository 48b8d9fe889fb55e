package io.reedmast.autoscaling

import io.reedmast.settings.ShardId
import io.reedmast.wire.Fields
import io.reedmast.wire.Tree
import io.reedmast.wire.amount
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.optionalTexts

/**
 * What an owner stores of its shard every few seconds: its teams' charged use, and what the leader needs to resize
 * shards.
 */
class ShardUsageSummary(
    val shard: ShardId,
    /** The version of the newest change to the shard's machines that the owner knew. */
    val machinesVersion: Long,
    /** Charged use of the shard's teams within the window. */
    val usage: Fields,
    /** Charged use against allocation of the waiting team that is furthest below its share. */
    val ratio: Double,
    val demand: List<Demand>,
    /** Machines that may move to another shard at once. */
    val idle: List<String>,
    /** Machines that could be emptied for another shard. */
    val lendable: List<String>,
    val starving: List<Starving>,
    /** Zones that seem to be cut off. */
    val unavailableZones: List<String>,
) {
    fun toFields(): Fields = mapOf(
        "hosts" to machinesVersion,
        "usage" to usage,
        "ratio" to ratio,
        "demand" to demand.map { it.toFields() },
        "idle" to idle,
        "lendable" to lendable,
        "starving" to starving.map { it.toFields() },
        "dark" to unavailableZones,
    )

    /** With fewer machines, and then fewer wishes, named, as far as needed for a stored value of so many bytes. */
    fun within(bytes: Int): ShardUsageSummary {
        var totals = this
        while (Tree.jsonSize(totals.toFields()) > bytes) totals = totals.shortened() ?: return totals
        return totals
    }

    private fun shortened(): ShardUsageSummary? = when {
        idle.size > FEW_MACHINES -> copy(idle = idle.take(idle.size / 2))
        lendable.size > FEW_MACHINES -> copy(lendable = lendable.take(lendable.size / 2))
        demand.size > 1 -> copy(demand = demand.dropLast(1))
        starving.size > 1 -> copy(starving = starving.dropLast(1))
        idle.isNotEmpty() || lendable.isNotEmpty() -> copy(idle = emptyList(), lendable = emptyList())
        else -> null
    }

    private fun copy(
        idle: List<String> = this.idle,
        lendable: List<String> = this.lendable,
        demand: List<Demand> = this.demand,
        starving: List<Starving> = this.starving,
    ) = ShardUsageSummary(shard, machinesVersion, usage, ratio, demand, idle, lendable, starving, unavailableZones)

    companion object {
        private const val FEW_MACHINES = 6

        fun parse(shard: ShardId, fields: Fields) = ShardUsageSummary(
            shard,
            fields.count("hosts"),
            fields.map("usage"),
            fields.amount("ratio"),
            fields.maps("demand").map { Demand.parse(it) },
            fields.list("idle").filterIsInstance<String>(),
            fields.optionalTexts("lendable").orEmpty(),
            if (fields["starving"] == null) emptyList() else fields.maps("starving").map { Starving.parse(it) },
            fields.optionalTexts("dark").orEmpty(),
        )
    }
}
