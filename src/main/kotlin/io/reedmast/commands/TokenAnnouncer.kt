package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.model.StopReason
import io.reedmast.ports.Cloud
import io.reedmast.ports.CloudListing
import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.WorkerStatus
import io.reedmast.wire.fittingOneMessage

/**
 * Announces a new owner's token to the workers of its shard.
 *
 * The workers may still send heartbeats to the previous owner, which answers them until it learns that it has lost the
 * shard. Once a worker has seen the new token, it drops the answers of the previous owner and refuses its commands
 * (PROTOCOL, Tokens). Without the announcement, a machine takes no work before it has sent two heartbeats, which costs
 * several seconds on each failover.
 */
internal class TokenAnnouncer(
    private val shardState: ShardState,
    private val cloud: Cloud,
    private val workers: WorkerTransport,
    private val replies: DirectReplyHandler,
    private val cancelledTaskStops: CancelledTaskStops,
) {
    /** When the cloud's machine list is next read for addresses; 0 once that is no longer needed. */
    private var nextListingAt = 0L
    private var isListing = false

    /**
     * Called when the shard has just been acquired and restored: calls the workers with known addresses immediately.
     */
    fun start() {
        nextListingAt = shardState.clock.now() + FIRST_LISTING_DELAY_MS
        for (machine in shardState.machines.values.toList()) {
            if (machine.isStateKnown || machine.decommissionReason != null) continue
            machine.addr?.let { announce(machine, it) }
        }
    }

    /** Called periodically: calls the other workers, at the addresses in the cloud's machine list. */
    fun runOnce(now: Long) {
        if (nextListingAt == 0L || now < nextListingAt || isListing) return
        if (shardState.machines.values.none { needsAnnouncement(it) }) {
            if (now - shardState.activeAt > LISTING_PERIOD_MS) nextListingAt = 0L
            return
        }
        isListing = true
        nextListingAt = now + LISTING_INTERVAL_MS
        cloud.listMachines { listing ->
            isListing = false
            if (listing is CloudListing.Complete && !shardState.dropped) listing.items.forEach { announce(it) }
        }
    }

    private fun needsAnnouncement(machine: Machine) =
        !machine.isStateKnown && machine.decommissionReason == null && machine.placements.isNotEmpty()

    private fun announce(listed: ListedMachine) {
        val machine = shardState.machines[listed.name] ?: return
        val addr = listed.addr ?: return
        if (needsAnnouncement(machine)) announce(machine, addr)
    }

    private fun announce(machine: Machine, addr: String) {
        call(machine, addr, machine.epoch, stopsOfCancelledPlacements(machine)) { status ->
            // The call was refused because of its epoch; it is repeated once with the epoch that the reply states.
            if (status.token < shardState.token) {
                call(machine, addr, status.epoch, cancelledTaskStops.missingFrom(emptyList(), status))
            }
        }
    }

    private fun stopsOfCancelledPlacements(machine: Machine): List<WorkerCommand> = machine.placements.values
        .filter { it.committed && it.stopReason == StopReason.CANCELLED }
        .map { WorkerCommand.StopTask(it.id, it.attempt, graceS = 0.0) }

    private fun call(
        machine: Machine,
        addr: String,
        epoch: Long,
        commands: List<WorkerCommand>,
        onStatus: (WorkerStatus) -> Unit = {},
    ) {
        val sent = commands.fittingOneMessage()
        workers.call(addr, shardState.tokenFor(machine), epoch, sent) { reply ->
            if (reply is Reply.Answer) replies.onReply(machine, reply, sent)?.let(onStatus)
        }
    }

    private companion object {
        const val FIRST_LISTING_DELAY_MS = 2_500L
        const val LISTING_INTERVAL_MS = 4_000L

        /** For how long after the shard became active machines may still appear whose workers lack the token. */
        const val LISTING_PERIOD_MS = 30_000L
    }
}
