package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.Cloud
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/** Rents machines for the demand of the shards, and hands those that the cloud provides to [intake]. */
internal class MachineProvisioner(
    private val clock: Clock,
    private val cloud: Cloud,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    private val intake: MachineIntake,
    /** The start of every request name, unique over all controllers and restarts. */
    private val requestPrefix: String,
    /** How long, in milliseconds, to wait for a machine of another shard instead of renting one more. */
    private val transferWaitMs: Long,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private var requestCount = 0L
    private val unavailableUntil = HashMap<InstanceOffering, Long>()

    /** The number of requests to the cloud in flight for each shard; a shard without any has no entry. */
    private val requestsInFlight = HashMap<ShardId, Int>()

    /** Until when (ms) shards wait for machines that were rented for them but came to other shards. */
    private val transferAwaitedUntil = HashMap<ShardId, Long>()

    /** Whether a machine that was rented for the shard came to another one, and may still be moved. */
    fun awaitsTransfer(shard: ShardId): Boolean = (transferAwaitedUntil[shard] ?: 0L) > clock.now()

    /** Whether a request for the shard is in flight. */
    fun isProvisioningFor(shard: ShardId): Boolean = shard in requestsInFlight

    /**
     * Requests machines for the demand of all shards of [summaries] together, since the cloud accepts few calls, each
     * for up to [MAX_MACHINES_PER_REQUEST] machines. Shards that come first are served first; [now] is in milliseconds.
     */
    fun provision(summaries: List<ShardUsageSummary>, unavailableZones: Set<String>, now: Long) {
        val planner = ProvisioningPlanner(machineTypes(), machineCountByZone()) { offering ->
            (unavailableUntil[offering] ?: 0L) > now || offering.zone in unavailableZones
        }
        planner.plan(summaries).take(MAX_REQUESTS).forEach { request(it.limitedTo(MAX_MACHINES_PER_REQUEST)) }
    }

    private fun machineCountByZone(): Map<String, Int> = (0 until fleet.shardCount)
        .flatMap { fleet.machinesOf(ShardId(it)) }
        .groupingBy { it.zone }
        .eachCount()

    private fun request(planned: PlannedOffering) {
        shardsOf(planned).forEach { requestsInFlight.merge(it, 1, Int::plus) }
        val request = ProvisioningRequest(
            "$requestPrefix-${++requestCount}",
            planned.offering.typeName,
            planned.offering.zone,
            planned.offering.spot,
            planned.machineCount,
        )
        send(planned, request, MAX_ATTEMPTS)
    }

    private fun send(planned: PlannedOffering, request: ProvisioningRequest, attemptsLeft: Int) {
        cloud.provision(request) { result ->
            if (result is ProvisioningResult.Failed && attemptsLeft > 1 && fleet.leading) {
                // Sent under the same name: if the earlier copy was carried out after all, nothing more is rented.
                send(planned, request, attemptsLeft - 1)
            } else {
                onAnswered(planned, request, result)
            }
        }
    }

    private fun onAnswered(planned: PlannedOffering, request: ProvisioningRequest, result: ProvisioningResult) {
        shardsOf(planned).forEach { recordAnswered(it) }
        when (result) {
            is ProvisioningResult.Machines -> onProvisioned(planned, request, result.names)
            ProvisioningResult.NoCapacity -> recordUnavailable(planned.offering)
            ProvisioningResult.Failed -> Unit
        }
    }

    private fun onProvisioned(planned: PlannedOffering, request: ProvisioningRequest, machineNames: List<String>) {
        log.info(
            "machines: {} of {} {} provisioned in zone {}{}",
            machineNames.size,
            request.count,
            request.typeName,
            request.zone,
            if (request.spot) ", spot" else "",
        )
        if (machineNames.size < request.count) recordUnavailable(planned.offering)
        planned.shardsOfMachines().zip(machineNames.distinct()).groupBy({ it.first }, { it.second })
            .forEach { (shard, names) -> offer(request, shard, names) }
        intake.assignWaitingMachines()
    }

    /**
     * For each requested machine, the shard that it is for. Machines that the cloud provides beyond the requested
     * number get no shard here; they are found by their heartbeats.
     */
    private fun PlannedOffering.shardsOfMachines(): List<ShardId> =
        allocations.flatMap { allocation -> List(allocation.machineCount) { allocation.shard } }

    /** Offers the machines that the cloud has provided for [request] to the intake, for [shard]. */
    private fun offer(request: ProvisioningRequest, shard: ShardId, machineNames: List<String>) {
        log.info("machines {}: rented for shard {}, request {}", machineNames, shard.value, request.requestName)
        val notAccepted = machineNames.associateWith { machineName ->
            val record = MachineRecord(machineName, request.typeName, request.zone, request.spot)
            intake.offer(record, shard, IntakeSource.RENTAL, seenToken = 0L)
        }.filterValues { it != IntakeDecision.Accepted }
        if (notAccepted.isEmpty()) return
        log.info(
            "machines {}: not assigned to shard {}, for the reason given with each machine",
            notAccepted,
            shard.value,
        )
        if (notAccepted.values.any { it is IntakeDecision.MetElsewhere }) {
            transferAwaitedUntil[shard] = clock.now() + transferWaitMs
        }
    }

    private fun recordAnswered(shard: ShardId) {
        requestsInFlight.computeIfPresent(shard) { _, count -> if (count > 1) count - 1 else null }
    }

    private fun recordUnavailable(offering: InstanceOffering) {
        unavailableUntil[offering] = clock.now() + UNAVAILABLE_MS
    }

    private fun shardsOf(planned: PlannedOffering): Set<ShardId> = planned.allocations.mapTo(HashSet()) { it.shard }

    private companion object {
        const val UNAVAILABLE_MS = 20_000L

        /** How often a request is sent at most while its outcome is not known. */
        const val MAX_ATTEMPTS = 3

        /** The maximum number of requests sent at once; each is for one offering. */
        const val MAX_REQUESTS = 8
    }
}
