package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.Cloud
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * Gives machines that belong to no shard to one, whether they were rented or nobody expected them, and returns those
 * that only cost.
 */
class MachineIntake(
    private val settings: Settings,
    private val clock: Clock,
    private val cloud: Cloud,
    private val workers: WorkerTransport,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
) {
    /** The shard that a machine is meant for, and the highest token that its worker has seen. */
    private data class Destination(val shard: ShardId, val seen: Long)

    private val log = LoggerFactory.getLogger("autoscaler")

    /** Stamps of the last change made here to shards' machines: older totals do not know of it yet. */
    private val outdated = HashMap<ShardId, Long>()

    /** Not yet given to a shard. */
    private val unassigned = LinkedHashMap<MachineRecord, Destination>()
    private val unassignedSince = HashMap<String, Long>()
    private val returning = HashSet<String>()
    private val assigning = HashSet<ShardId>()
    private val calling = HashSet<String>()

    /** Another controller has led before: what it knew of machines of no shard is not known here. */
    fun startLeading() = unassignedSince.clear()

    /** Whether machines wait to be given to the shard. */
    fun awaits(shard: ShardId): Boolean = unassigned.values.any { it.shard == shard }

    /** Whether the totals were written in knowledge of all machines that were given to their shard from here. */
    fun isCurrent(totals: ShardUsageSummary): Boolean = totals.machinesVersion >= (outdated[totals.shard] ?: 0L)

    /** A machine is to be given to [shard]; [seenToken] is the highest token that its worker has seen. */
    fun add(record: MachineRecord, shard: ShardId, seenToken: Long) {
        unassigned[record] = Destination(shard, seenToken)
    }

    /** Gives machines that wait for it to their shards. */
    fun assign() {
        if (unassigned.isEmpty()) return
        unassigned.keys.removeIf { fleet.shardOfMachine(it.name) != null }
        for ((shard, waiting) in unassigned.entries.groupBy { it.value.shard }) {
            val records = waiting.map { it.key }
            if (!assigning.add(shard)) continue
            fleet.addMachines(shard, records, waiting.maxOf { it.value.seen }) { added ->
                assigning.remove(shard)
                if (added.isNotEmpty()) {
                    outdated[shard] = fleet.machinesVersion(shard)
                    unassigned.keys.removeIf { it.name in added }
                }
            }
        }
    }

    /**
     * A worker nobody has given to a shard reports: once it has answered a call, it is used.
     *
     * The report alone proves nothing: it may be a late copy from a machine that was returned, and such a machine must
     * not come back into a shard; and a machine that hears nothing is of no use.
     */
    fun onUnassignedWorker(status: WorkerStatus) {
        if (!fleet.leading || !fleet.isCurrent() || status.machineName in returning ||
            fleet.departedLately(status.machineName)
        ) {
            return
        }
        // At a first start the shards appear one by one; waiting for all of them spreads the machines evenly.
        if (fleet.hasUnownedShards) return
        if (unassigned.keys.any { it.name == status.machineName } || calling.size >= MAX_CALLS ||
            !calling.add(status.machineName)
        ) {
            return
        }
        // Neither token nor session are the worker's: nothing is executed, and the refusal is its newest report.
        workers.call(status.addr, 0L, 0L, emptyList()) { reply ->
            calling.remove(status.machineName)
            val answer = (reply as? Reply.Answer)?.takeIf { it.status == 200 || it.status == 409 } ?: return@call
            try {
                val now = WorkerStatus.parse(answer.body)
                if (now.machineName == status.machineName && fleet.leading) accept(now)
            } catch (e: MalformedException) {
                log.error("machine {}: malformed answer: {}", status.machineName, e.message)
            }
        }
    }

    private fun accept(status: WorkerStatus) {
        if (fleet.shardOfMachine(status.machineName) != null || status.machineName in returning ||
            fleet.departedLately(status.machineName)
        ) {
            return
        }
        val record = MachineRecord(status.machineName, status.typeName, status.zone, status.spot)
        val shard = emptiest()
        log.info(
            "machine {}: sends heartbeats and belongs to no shard, assigned to shard {}",
            status.machineName,
            shard.value,
        )
        add(record, shard, status.token)
        assign()
    }

    /** The shard with the fewest CPUs, so that machines found at the start are spread evenly. */
    private fun emptiest(): ShardId {
        val cpus = DoubleArray(fleet.shardCount)
        for (shard in cpus.indices) {
            cpus[shard] =
                fleet.machinesOf(ShardId(shard)).sumOf { machineTypes()[it.typeName]?.cpus ?: 1.0 }
        }
        for ((record, to) in unassigned) cpus[to.shard.value] += machineTypes()[record.typeName]?.cpus ?: 1.0
        return ShardId(cpus.indices.minByOrNull { cpus[it] } ?: 0)
    }

    /** Machines that nobody expected use themselves by reporting; those that only cost are returned. */
    fun onMachineList(machines: List<ListedMachine>) {
        val now = clock.now()
        val listed = machines.mapTo(HashSet()) { it.name }
        unassignedSince.keys.retainAll(listed)
        val expected = unassigned.keys.mapTo(HashSet()) { it.name }
        val lost = ArrayList<String>()
        for (machine in machines) {
            if (fleet.shardOfMachine(machine.name) != null || fleet.departedLately(machine.name) ||
                machine.name in expected
            ) {
                unassignedSince.remove(machine.name)
                continue
            }
            val since = unassignedSince.getOrPut(machine.name) { now }
            val patience =
                ((machineTypes()[machine.typeName]?.bootS ?: 60.0) * 2 + settings.cloudLimits.listLagS * 2) * 1000
            if ((machine.stage == "failed" || now - since > patience) &&
                machine.name !in returning
            ) {
                lost.add(machine.name)
            }
        }
        if (lost.isEmpty()) return
        val names = lost.take(MAX_MACHINES_PER_RETURN)
        log.info("machines {}: belong to no shard and send no heartbeats, returned", names)
        returning.addAll(names)
        cloud.returnMachines(names) { ok ->
            returning.removeAll(names.toSet())
            if (ok) names.forEach { unassignedSince.remove(it) }
        }
    }

    private companion object {
        const val MAX_CALLS = 64
        const val MAX_MACHINES_PER_RETURN = 100
    }
}
