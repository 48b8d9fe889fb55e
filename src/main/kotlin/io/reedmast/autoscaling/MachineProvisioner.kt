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
    /** Part of every request name: never the same twice, over all controllers and restarts. */
    private val requestPrefix: String,
    /** For how long, in milliseconds, a machine of another shard is waited for instead of renting one more. */
    private val transferWaitMs: Long,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private var requestCount = 0L
    private val unavailableUntil = HashMap<InstanceOffering, Long>()

    /** How many requests to the cloud are on their way for each shard; a shard without any has no entry. */
    private val requestsInFlight = HashMap<ShardId, Int>()

    /** Until when (ms) shards wait for machines that were rented for them and have come to other shards. */
    private val transferAwaitedUntil = HashMap<ShardId, Long>()

    /** Whether a machine that was rented for the shard is in another one, and may yet be moved. */
    fun awaitsTransfer(shard: ShardId): Boolean = (transferAwaitedUntil[shard] ?: 0L) > clock.now()

    /** Whether a request for the shard is on its way. */
    fun isProvisioningFor(shard: ShardId): Boolean = shard in requestsInFlight

    /**
     * Requests machines for all that the shards of [summaries] demand together: the cloud takes few calls, and up to
     * [MAX_MACHINES_PER_REQUEST] machines with each. Shards that come first are served first; [now] is in milliseconds.
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
                // The same name again: if the first copy was carried out after all, nothing more is rented.
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
            "machines: {} of {} {} provisioned in {}{}",
            machineNames.size,
            request.count,
            request.typeName,
            request.zone,
            if (request.spot) ", spot" else "",
        )
        if (machineNames.size < request.count) recordUnavailable(planned.offering)
        planned.shardsOfMachines().zip(machineNames.distinct()).groupBy({ it.first }, { it.second })
            .forEach { (shard, names) -> offer(request, shard, names) }
        intake.assign()
    }

    /** What the cloud names beyond what was asked for is left to be found by its heartbeats. */
    private fun PlannedOffering.shardsOfMachines(): List<ShardId> =
        allocations.flatMap { allocation -> List(allocation.machineCount) { allocation.shard } }

    /** Offers the machines that [request] has brought to [shard]. */
    private fun offer(request: ProvisioningRequest, shard: ShardId, machineNames: List<String>) {
        log.info("machines {}: rented for shard {}, request {}", machineNames, shard.value, request.requestName)
        val notAccepted = machineNames.associateWith { machineName ->
            val record = MachineRecord(machineName, request.typeName, request.zone, request.spot)
            intake.offer(record, shard, IntakeSource.RENTAL, seenToken = 0L)
        }.filterValues { it != IntakeDecision.Accepted }
        if (notAccepted.isEmpty()) return
        log.info("machines {}: do not come to shard {}", notAccepted, shard.value)
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

        /** How often a request is sent whose outcome is not known. */
        const val MAX_ATTEMPTS = 3

        /** How many requests are made at once; each is for one offering. */
        const val MAX_REQUESTS = 8
    }
}
