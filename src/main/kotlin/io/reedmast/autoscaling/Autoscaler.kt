package io.reedmast.autoscaling

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.UnreadableRecordLog
import io.reedmast.ports.Clock
import io.reedmast.ports.CloudListing
import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * Schedules the leader's periodic work: renting machines for the demand of the shards, moving machines between shards,
 * and assigning or returning machines that belong to no shard.
 */
class Autoscaler(
    private val settings: Settings,
    private val tuning: Tuning,
    private val clock: Clock,
    private val gateway: Gateway,
    private val fleet: FleetView,
    private val machineTypes: () -> Map<String, MachineType>,
    /** Identifies this process, uniquely over all controllers and restarts. */
    incarnation: String,
) {
    private val log = LoggerFactory.getLogger("autoscaler")
    private val unreadable = UnreadableRecordLog()
    private val pendingReturns = PendingReturns()
    private val intake = MachineIntake(clock, fleet, machineTypes, pendingReturns)
    private val abandonedMachines =
        AbandonedMachines(settings, clock, gateway, fleet, machineTypes, intake, pendingReturns)
    private val unassignedWorkers = UnassignedWorkers(gateway, fleet, intake)
    private val provisioner =
        MachineProvisioner(clock, gateway, fleet, machineTypes, intake, incarnation, transferWaitMs())
    private val rebalancer = ShardRebalancer(clock, fleet, machineTypes)
    private var wasLeading = false
    private var readingSummaries = false
    private var summariesDueAt = 0L
    private var listingMachines = false
    private var listDueAt = 0L
    private var resizeDueAt = 0L

    /** Called periodically: does what is due, if this controller leads and its view of the store is current. */
    fun runOnce() {
        if (!fleet.leading || !fleet.isCurrent()) {
            wasLeading = false
            return
        }
        val now = clock.now()
        if (!wasLeading) startLeading(now)
        listMachines(now)
        intake.assignWaitingMachines()
        readSummaries(now)
    }

    private fun startLeading(now: Long) {
        wasLeading = true
        abandonedMachines.startLeading()
        listDueAt = now + MIN_LIST_INTERVAL_MS
        resizeDueAt = now + (tuning.resizeIntervalS * MS_PER_S).toLong()
        log.info("leader: this controller is the leader now")
    }

    private fun listMachines(now: Long) {
        if (now < listDueAt || listingMachines) return
        listingMachines = true
        listDueAt = now + maxOf(MIN_LIST_INTERVAL_MS, (settings.cloudLimits.listLagS * MS_PER_S).toLong())
        gateway.listMachines { listing ->
            listingMachines = false
            if (listing is CloudListing.Complete && fleet.leading) abandonedMachines.onMachineList(listing.items)
        }
    }

    private fun readSummaries(now: Long) {
        if (readingSummaries || now < summariesDueAt || machineTypes().isEmpty()) return
        readingSummaries = true
        summariesDueAt = now + SUMMARY_READ_INTERVAL_MS
        gateway.list(Keys.USAGE_SUMMARIES) { result ->
            readingSummaries = false
            if (result is ListResult.Listing && fleet.leading && fleet.isCurrent()) {
                scale(result.items.mapNotNull { parse(it) })
            }
        }
    }

    private fun parse(item: StoredItem): ShardUsageSummary? = try {
        ShardUsageSummary.parse(ShardId(item.path.removePrefix(Keys.USAGE_SUMMARIES).toInt()), item.value)
    } catch (e: MalformedException) {
        unreadable.report(item.path, e.message)
        null
    } catch (e: NumberFormatException) {
        unreadable.report(item.path, "its path does not end in a shard number")
        null
    }

    /**
     * Moves and rents machines for the shards with demand. Shards further below their fair share come first, both for
     * idle machines of other shards and for rented ones.
     */
    private fun scale(summaries: List<ShardUsageSummary>) {
        val now = clock.now()
        rebalancer.runOnce(now)
        val withDemand = summaries.filter { it.demand.isNotEmpty() && showsIncomingMachines(it) }.sortedBy { it.ratio }
        if (now >= resizeDueAt) {
            resizeDueAt = now + (tuning.resizeIntervalS * MS_PER_S).toLong()
            rebalancer.resize(withDemand, summaries)
        }
        val unavailableZones = summaries.flatMapTo(HashSet()) { it.unavailableZones }
        rebalancer.drainForStarving(summaries, now)
        val undersupplied = withDemand.filter {
            !rebalancer.isMovingTo(it.shard) && !provisioner.awaitsTransfer(it.shard)
        }
        provisioner.provision(undersupplied, unavailableZones, now)
    }

    /** The time until the other shard's summary shows a machine as idle and the next resizing moves it. */
    private fun transferWaitMs(): Long =
        ((tuning.usageSummaryIntervalS + tuning.resizeIntervalS) * MS_PER_S).toLong() + SUMMARY_READ_INTERVAL_MS

    /**
     * Whether the summary takes into account all machines that are to come to the shard; otherwise the shard would get
     * more than it needs.
     */
    private fun showsIncomingMachines(summary: ShardUsageSummary): Boolean {
        val shard = summary.shard
        return intake.isCurrent(summary) && !provisioner.isProvisioningFor(shard) && !rebalancer.isMovingTo(shard) &&
            !intake.hasMachinesFor(shard)
    }

    /** Called when a worker that belongs to no shard has sent a heartbeat. */
    fun onUnassignedWorker(status: WorkerStatus) = unassignedWorkers.onHeartbeat(status)

    private companion object {
        const val SUMMARY_READ_INTERVAL_MS = 1_000L
        const val MIN_LIST_INTERVAL_MS = 5_000L
    }
}
