package io.reedmast.autoscaling

import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/**
 * Which machines move between shards: idle ones to where they are wanted, and now and then one that is emptied for a
 * starving job.
 */
class ShardRebalancer(
    private val clock: Clock,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
) {
    private val log = LoggerFactory.getLogger("autoscaler")

    /** Shards that machines are on their way to, and until when that keeps the leader from renting for them. */
    private val moving = HashMap<ShardId, Long>()

    /** Shards that a machine is being emptied for, and until when that is waited for. */
    private val relieving = HashMap<ShardId, Long>()

    /** Whether machines are on their way to [shard], whose room it does not know yet. */
    fun isMovingTo(shard: ShardId): Boolean = shard in moving

    fun runOnce(now: Long) {
        moving.values.removeIf { it < now }
        relieving.values.removeIf { it < now }
    }

    /** Idle and booting machines of shards that want nothing go to shards that do, until their demand is met. */
    fun resize(wanting: List<ShardUsageSummary>, totals: List<ShardUsageSummary>) {
        val givers = totals.filter { it.demand.isEmpty() && it.idle.isNotEmpty() }
        for (needy in wanting) {
            val left = needy.demand.associateWithTo(LinkedHashMap()) { it.taskCount }
            for (giver in givers) {
                val idle = giver.idle.toHashSet()
                val given = ArrayList<String>()
                for (record in fleet.machinesOf(giver.shard)) {
                    if (record.name !in idle || fleet.isMarkedForTransfer(giver.shard, record.name)) continue
                    val machineType = machineTypes()[record.typeName] ?: continue
                    val demand =
                        left.entries.firstOrNull {
                            it.value > 0 &&
                                it.key.mayRunOn(record.typeName, record.zone, record.spot) &&
                                it.key.tasksPerMachine(machineType) > 0
                        }
                            ?: continue
                    demand.setValue(demand.value - demand.key.tasksPerMachine(machineType))
                    given.add(record.name)
                }
                if (given.isEmpty()) continue
                log.info(
                    "shard {}: {} machines are to move to shard {}",
                    giver.shard.value,
                    given.size,
                    needy.shard.value,
                )
                fleet.markForTransfer(giver.shard, given, needy.shard)
                // Their room is not known to the needy shard before they have moved.
                moving[needy.shard] = clock.now() + MOVE_MS
            }
        }
    }

    /**
     * Has a machine of another shard emptied for a job that starves, once what could be rented for it has not come in
     * time.
     *
     * Shards lend each other only whole machines, and with some work on every one of them a job could wait for ever
     * beside room that would hold it.
     */
    fun relieve(totals: List<ShardUsageSummary>, now: Long) {
        for (needy in totals.filter { it.shard !in relieving }) {
            for (starving in needy.starving) {
                val demand = starving.demand
                if (starving.waitedS < PROVISIONED_BY_NOW_S) continue
                val (giver, machineNames) = totals.filter { it.shard != needy.shard }.firstNotNullOfOrNull { giver ->
                    machinesFor(demand, giver).takeIf { it.isNotEmpty() }?.let { giver to it }
                } ?: continue
                log.info(
                    "shard {}: {} are drained for shard {}, where a job is starving",
                    giver.shard.value,
                    machineNames,
                    needy.shard.value,
                )
                fleet.markForTransfer(giver.shard, machineNames, needy.shard)
                relieving[needy.shard] = now + RELIEVED_MS
                break
            }
        }
    }

    /**
     * Machines of a shard that hold what starves: a single task, or a whole gang, as far as [MAX_EMPTIED] machines do.
     */
    private fun machinesFor(demand: Demand, giver: ShardUsageSummary): List<String> {
        val machineNames = ArrayList<String>()
        var left = demand.taskCount
        for (machineName in giver.idle + giver.drainable) {
            if (left <= 0 || machineNames.size >= MAX_EMPTIED) break
            if (machineName in machineNames || !suits(giver.shard, machineName, demand)) continue
            machineNames.add(machineName)
            left -= heldBy(giver.shard, machineName, demand)
        }
        return machineNames
    }

    private fun heldBy(shard: ShardId, name: String, demand: Demand): Int = fleet.machinesOf(shard).firstOrNull {
        it.name == name
    }?.let { machineTypes()[it.typeName] }?.let { demand.tasksPerMachine(it) }
        ?: 0

    private fun suits(shard: ShardId, name: String, demand: Demand): Boolean {
        val record = fleet.machinesOf(shard).firstOrNull { it.name == name } ?: return false
        val machineType = machineTypes()[record.typeName] ?: return false
        return !fleet.isMarkedForTransfer(shard, name) && demand.mayRunOn(record.typeName, record.zone, record.spot) &&
            demand.tasksPerMachine(machineType) > 0
    }

    private companion object {
        const val MOVE_MS = 2_000L
        const val MAX_EMPTIED = 4
        const val RELIEVED_MS = 25_000L

        /** A machine that was rented when the job began to starve is mostly up by then. */
        const val PROVISIONED_BY_NOW_S = 55.0
    }
}
