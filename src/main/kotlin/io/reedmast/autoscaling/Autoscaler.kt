package io.reedmast.autoscaling

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.ports.Clock
import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * The leader's duties and when each is due: renting for what shards ask, resizing shards, taking in machines of no
 * shard.
 */
class Autoscaler(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val gateway: Gateway,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    /** Names this process; never used by another one. */
    incarnation: String,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val unreadable = UnreadableRecordLog()
    private val intake = MachineIntake(settings, clock, gateway, gateway, fleet, machineTypes)
    private val provisioner = MachineProvisioner(clock, gateway, fleet, machineTypes, intake, incarnation)
    private val rebalancer = ShardRebalancer(clock, fleet, machineTypes)
    private var wasLeading = false
    private var totalsAsked = false
    private var totalsDue = 0L
    private var listAsked = false
    private var listDue = 0L
    private var resizeDue = 0L

    fun runOnce() {
        if (!fleet.leading || !fleet.isCurrent()) {
            wasLeading = false
            return
        }
        val now = clock.now()
        if (!wasLeading) startLeading(now)
        listMachines(now)
        intake.assign()
        readTotals(now)
    }

    private fun startLeading(now: Long) {
        wasLeading = true
        intake.startLeading()
        listDue = now + LIST_MIN_MS
        resizeDue = now + (tuning.resizeS * 1000).toLong()
        log.info("leader: this controller leads")
    }

    private fun listMachines(now: Long) {
        if (now < listDue || listAsked) return
        listAsked = true
        listDue = now + maxOf(LIST_MIN_MS, (settings.cloudLimits.listLagS * 1000).toLong())
        gateway.listMachines {
            listAsked = false
            if (it != null && fleet.leading) intake.onMachineList(it)
        }
    }

    private fun readTotals(now: Long) {
        if (totalsAsked || now < totalsDue || machineTypes().isEmpty()) return
        totalsAsked = true
        totalsDue = now + READ_TOTALS_MS
        gateway.list(Keys.TOTALS) { items ->
            totalsAsked = false
            if (items != null && fleet.leading && fleet.isCurrent()) serve(items.mapNotNull { parse(it) })
        }
    }

    private fun parse(item: StoredItem): ShardUsageSummary? = try {
        ShardUsageSummary.parse(ShardId(item.path.removePrefix(Keys.TOTALS).toInt()), item.value)
    } catch (e: MalformedException) {
        unreadable.report(item.path, e.message)
        null
    } catch (e: NumberFormatException) {
        unreadable.report(item.path, "it belongs to no shard")
        null
    }

    /** Shards further below their share come first, for idle machines of other shards and for rented ones. */
    private fun serve(totals: List<ShardUsageSummary>) {
        val now = clock.now()
        rebalancer.runOnce(now)
        val wanting = totals.filter { it.demand.isNotEmpty() && isSettled(it) }.sortedBy { it.ratio }
        if (now >= resizeDue) {
            resizeDue = now + (tuning.resizeS * 1000).toLong()
            rebalancer.resize(wanting, totals)
        }
        val unavailableZones = totals.flatMapTo(HashSet()) { it.unavailableZones }
        rebalancer.drainForStarving(totals, now)
        provisioner.provision(wanting.filter { !rebalancer.isMovingTo(it.shard) }, unavailableZones, now)
    }

    /** Whether the totals show all machines that are on their way to the shard: else more would come than it wants. */
    private fun isSettled(totals: ShardUsageSummary): Boolean = intake.isCurrent(
        totals,
    ) && !provisioner.isProvisioningFor(totals.shard) && !rebalancer.isMovingTo(totals.shard) &&
        !intake.awaits(totals.shard)

    /** A worker of no shard reports. */
    fun onUnassignedWorker(status: WorkerStatus) = intake.onUnassignedWorker(status)

    private companion object {
        const val READ_TOTALS_MS = 1_000L
        const val LIST_MIN_MS = 5_000L
    }
}
