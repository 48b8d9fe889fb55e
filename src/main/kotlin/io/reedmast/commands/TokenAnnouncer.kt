package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import io.reedmast.ports.Cloud
import io.reedmast.ports.WorkerTransport
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerStatus

/**
 * Shows a new owner's token to the machines of its shard.
 *
 * Their workers may still report to the old owner, which answers them as long as it does not know better; having seen
 * our token they drop its answers, and its commands reach them no more. Without it a machine takes no work before it
 * has reported twice, which is several seconds for each failover.
 */
class TokenAnnouncer(
    private val shardState: ShardState,
    private val cloud: Cloud,
    private val workers: WorkerTransport,
    /** Takes in the report that answers a call, and gives it back if it can be read. */
    private val answered: (Machine, Reply.Answer) -> WorkerStatus?,
) {
    private var listDue = 0L
    private var listing = false

    /** The shard has just been taken: workers whose address is known are called at once. */
    fun begin() {
        listDue = shardState.clock.now() + LIST_AFTER_MS
        for (machine in shardState.machines.values.toList()) {
            if (!machine.trusted &&
                machine.decommissionReason == null
            ) {
                call(machine, machine.addr ?: continue, machine.epoch, again = true)
            }
        }
    }

    /** Calls the others too, at the addresses in the cloud's list. */
    fun runOnce(now: Long) {
        if (listDue == 0L || now < listDue || listing) return
        if (shardState.machines.values.none { lacksToken(it) }) {
            if (now - shardState.activeAt > LIST_FOR_MS) listDue = 0L
            return
        }
        listing = true
        listDue = now + LIST_EVERY_MS
        cloud.listMachines { listed ->
            listing = false
            if (shardState.dropped) return@listMachines
            for (entry in listed.orEmpty()) {
                val machine = shardState.machines[entry.name]?.takeIf { lacksToken(it) } ?: continue
                call(machine, entry.addr ?: continue, machine.epoch, again = true)
            }
        }
    }

    private fun lacksToken(machine: Machine) =
        !machine.trusted && machine.decommissionReason == null && machine.placements.isNotEmpty()

    private fun call(machine: Machine, addr: String, epoch: Long, again: Boolean) {
        workers.call(addr, shardState.tokenFor(machine), epoch, emptyList()) { reply ->
            val status = (reply as? Reply.Answer)?.let { answered(machine, it) }
            // Refused for its session, which the answer tells.
            if (status != null && again &&
                status.token < shardState.token
            ) {
                call(machine, addr, status.epoch, again = false)
            }
        }
    }

    private companion object {
        const val LIST_AFTER_MS = 2_500L
        const val LIST_EVERY_MS = 4_000L
        const val LIST_FOR_MS = 30_000L
    }
}
