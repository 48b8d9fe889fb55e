package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.ports.Clock
import io.reedmast.ports.Cloud
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import org.slf4j.LoggerFactory

/** Rents machines for what shards want. */
class MachineProvisioner(
    private val clock: Clock,
    private val cloud: Cloud,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    private val intake: MachineIntake,
    /** Part of every request name: never the same twice, over all controllers and restarts. */
    private val requestPrefix: String,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private var requests = 0L
    private val unavailableUntil = HashMap<InstanceOffering, Long>()

    /** Requests to the cloud on their way, by the shards they are for. */
    private val provisioning = HashMap<ShardId, Int>()

    /** Whether a request for the shard is on its way. */
    fun isProvisioningFor(shard: ShardId): Boolean = shard in provisioning

    /** What one shard gets of a request to the cloud. */
    private class Part(val shard: ShardId, val count: Int)

    /**
     * Rents for all shards and all that they want together: the cloud takes few calls, and up to
     * [MAX_MACHINES_PER_REQUEST] machines with each.
     */
    fun provision(wanting: List<ShardUsageSummary>, unavailableZones: Set<String>, now: Long) {
        val parts = LinkedHashMap<InstanceOffering, ArrayList<Part>>()
        val held = HashMap<String, Int>()
        for (shard in 0 until fleet.shardCount) {
            fleet.machinesOf(ShardId(shard)).forEach {
                held.merge(it.zone, 1, Int::plus)
            }
        }
        for (needy in wanting) {
            for (demand in needy.demand) {
                var left = demand
                // Spread over zones: a zone that is cut off takes only its part with it.
                while (left.taskCount > 0) {
                    val (offer, count) = selectOffering(left, machineTypes().values, {
                        (unavailableUntil[it] ?: 0L) >
                            now ||
                            it.zone in unavailableZones
                    }, {
                        held[it]
                            ?: 0
                    })
                        ?: break
                    val zones = machineTypes().getValue(offer.typeName).zones.size
                    val some = if (demand.zone != null ||
                        zones < 2
                    ) {
                        minOf(count, MAX_MACHINES_PER_REQUEST)
                    } else {
                        minOf(count, maxOf(MIN_IN_A_ZONE, count / zones))
                    }
                    held.merge(offer.zone, some, Int::plus)
                    parts.getOrPut(offer) { ArrayList() }.add(Part(needy.shard, some))
                    left =
                        left.copy(
                            taskCount =
                            left.taskCount - some * left.tasksPerMachine(machineTypes().getValue(offer.typeName)),
                        )
                }
            }
        }
        for ((offer, shares) in parts.entries.take(MAX_OFFERINGS)) {
            var room = MAX_MACHINES_PER_REQUEST
            val mine = ArrayList<Part>()
            for (share in shares) {
                val some = minOf(share.count, room)
                if (some <= 0) break
                room -= some
                mine.add(Part(share.shard, some))
            }
            mine.mapTo(HashSet()) { it.shard }.forEach { provisioning.merge(it, 1, Int::plus) }
            val rental = ProvisioningRequest(
                "$requestPrefix-${++requests}",
                offer.typeName,
                offer.zone,
                offer.spot,
                MAX_MACHINES_PER_REQUEST - room,
            )
            send(mine, offer, rental, PROVISIONING_TRIES)
        }
    }

    private fun send(shares: List<Part>, offer: InstanceOffering, rental: ProvisioningRequest, tries: Int) {
        cloud.provision(rental) { provisioned ->
            val now = clock.now()
            if (provisioned is ProvisioningResult.Failed && tries > 1 && fleet.leading) {
                // The same name again: if the first copy was carried out after all, nothing more is rented.
                send(shares, offer, rental, tries - 1)
                return@provision
            }
            shares.mapTo(HashSet()) { it.shard }.forEach {
                provisioning.computeIfPresent(it) { _, n ->
                    if (n >
                        1
                    ) {
                        n - 1
                    } else {
                        null
                    }
                }
            }
            if (provisioned is ProvisioningResult.NoCapacity) unavailableUntil[offer] = now + UNAVAILABLE_MS
            if (provisioned is ProvisioningResult.Machines) {
                log.info(
                    "machines: {} of {} {} provisioned in {}{}",
                    provisioned.names.size,
                    rental.count,
                    rental.typeName,
                    rental.zone,
                    if (rental.spot) ", spot" else "",
                )
                if (provisioned.names.size < rental.count) unavailableUntil[offer] = now + UNAVAILABLE_MS
                val names = ArrayDeque(provisioned.names)
                for (share in shares) {
                    repeat(share.count) {
                        names.removeFirstOrNull()?.let {
                            intake.add(
                                MachineRecord(it, rental.typeName, rental.zone, rental.spot),
                                share.shard,
                                seenToken = 0L,
                            )
                        }
                    }
                }
                intake.assign()
            }
        }
    }

    private companion object {
        const val UNAVAILABLE_MS = 20_000L
        const val PROVISIONING_TRIES = 3
        const val MAX_MACHINES_PER_REQUEST = 50
        const val MIN_IN_A_ZONE = 4
        const val MAX_OFFERINGS = 8
    }
}
