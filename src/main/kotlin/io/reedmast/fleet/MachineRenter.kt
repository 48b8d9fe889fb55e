package io.reedmast.fleet

import io.reedmast.ownership.Cluster
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.ports.Rented
import io.reedmast.settings.ShardId
import io.reedmast.wire.MachineType
import io.reedmast.workers.HostRecord
import org.slf4j.LoggerFactory

/** Rents machines for what shards want. */
class MachineRenter(
    private val clock: Clock,
    private val out: Gateway,
    private val cluster: Cluster,
    private val machineTypes: () -> Map<String, MachineType>,
    private val intake: MachineIntake,
    /** Part of every request name: never the same twice, over all nodes and restarts. */
    private val requestPrefix: String,
) {
    private val log = LoggerFactory.getLogger("fleet")
    private var requests = 0L
    private val soldOutUntil = HashMap<Offer, Long>()

    /** Requests to the cloud on their way, by the shards they are for. */
    private val renting = HashMap<ShardId, Int>()

    /** Whether a request for the shard is on its way. */
    fun isRentingFor(shard: ShardId): Boolean = shard in renting

    /** What one shard gets of a request to the cloud. */
    private class Part(val shard: ShardId, val count: Int)

    /**
     * Rents for all shards and all that they want together: the cloud takes few calls, and up to [MOST_AT_ONCE] machines
     * with each.
     */
    fun rent(wanting: List<ShardUsageSummary>, dark: Set<String>, now: Long) {
        val parts = LinkedHashMap<Offer, ArrayList<Part>>()
        val held = HashMap<String, Int>()
        for (shard in cluster.records.indices) cluster.hostsOf(ShardId(shard)).forEach { held.merge(it.zone, 1, Int::plus) }
        for (needy in wanting) {
            for (demand in needy.demand) {
                var left = demand
                // Spread over zones: a zone that is cut off takes only its part with it.
                while (left.count > 0) {
                    val (offer, count) = shop(left, machineTypes().values, { (soldOutUntil[it] ?: 0L) > now || it.zone in dark }, { held[it] ?: 0 }) ?: break
                    val zones = machineTypes().getValue(offer.typeName).zones.size
                    val some = if (demand.zone != null || zones < 2) minOf(count, MOST_AT_ONCE) else minOf(count, maxOf(MIN_IN_A_ZONE, count / zones))
                    held.merge(offer.zone, some, Int::plus)
                    parts.getOrPut(offer) { ArrayList() }.add(Part(needy.shard, some))
                    left = left.copy(count = left.count - some * left.heldBy(machineTypes().getValue(offer.typeName)))
                }
            }
        }
        for ((offer, shares) in parts.entries.take(MOST_OFFERS)) {
            var room = MOST_AT_ONCE
            val mine = ArrayList<Part>()
            for (share in shares) {
                val some = minOf(share.count, room)
                if (some <= 0) break
                room -= some
                mine.add(Part(share.shard, some))
            }
            mine.mapTo(HashSet()) { it.shard }.forEach { renting.merge(it, 1, Int::plus) }
            val rental = Rental("$requestPrefix-${++requests}", offer.typeName, offer.zone, offer.spot, MOST_AT_ONCE - room)
            send(mine, offer, rental, RENT_TRIES)
        }
    }

    private fun send(shares: List<Part>, offer: Offer, rental: Rental, tries: Int) {
        out.rent(rental) { rented ->
            val now = clock.now()
            if (rented is Rented.Failed && tries > 1 && cluster.leading) {
                // The same name again: if the first copy was carried out after all, nothing more is rented.
                send(shares, offer, rental, tries - 1)
                return@rent
            }
            shares.mapTo(HashSet()) { it.shard }.forEach { renting.computeIfPresent(it) { _, n -> if (n > 1) n - 1 else null } }
            if (rented is Rented.NoCapacity) soldOutUntil[offer] = now + SOLD_OUT_MS
            if (rented is Rented.Hosts) {
                log.info("rented {} of {} {} in {}{}", rented.names.size, rental.count, rental.typeName, rental.zone, if (rental.spot) ", spot" else "")
                if (rented.names.size < rental.count) soldOutUntil[offer] = now + SOLD_OUT_MS
                val names = ArrayDeque(rented.names)
                for (share in shares) {
                    repeat(share.count) {
                        names.removeFirstOrNull()?.let {
                            intake.add(HostRecord(it, rental.typeName, rental.zone, rental.spot), share.shard, seenToken = 0L)
                        }
                    }
                }
                intake.assign()
            }
        }
    }

    private companion object {
        const val SOLD_OUT_MS = 20_000L
        const val RENT_TRIES = 3
        const val MOST_AT_ONCE = 50
        const val MIN_IN_A_ZONE = 4
        const val MOST_OFFERS = 8
    }
}
