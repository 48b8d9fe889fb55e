package io.reedmast.workers

import io.reedmast.jobs.SliceState
import io.reedmast.ports.Gateway
import io.reedmast.wire.Reply
import io.reedmast.wire.Report

/**
 * Shows a new owner's token to the machines of its slice.
 *
 * Their workers may still report to the old owner, which answers them as long as it does not know better; having seen our token they
 * drop its answers, and its commands reach them no more. Without it a machine takes no work before it has reported twice, which is
 * several seconds for each failover.
 */
class TokenAnnouncer(
    private val sliceState: SliceState,
    private val out: Gateway,
    /** Takes in the report that answers a call, and gives it back if it can be read. */
    private val answered: (Machine, Reply.Answer) -> Report?,
) {
    private var listDue = 0L
    private var listing = false

    /** The slice has just been taken: workers whose address is known are called at once. */
    fun begin() {
        listDue = sliceState.clock.now() + LIST_AFTER_MS
        for (machine in sliceState.machines.values.toList()) {
            if (!machine.trusted && machine.retirement == null) call(machine, machine.addr ?: continue, machine.session, again = true)
        }
    }

    /** Calls the others too, at the addresses in the cloud's list. */
    fun tick(now: Long) {
        if (listDue == 0L || now < listDue || listing) return
        if (sliceState.machines.values.none { lacksToken(it) }) {
            if (now - sliceState.activeAt > LIST_FOR_MS) listDue = 0L
            return
        }
        listing = true
        listDue = now + LIST_EVERY_MS
        out.listHosts { hosts ->
            listing = false
            if (sliceState.dropped) return@listHosts
            for (host in hosts.orEmpty()) {
                val machine = sliceState.machines[host.name]?.takeIf { lacksToken(it) } ?: continue
                call(machine, host.addr ?: continue, machine.session, again = true)
            }
        }
    }

    private fun lacksToken(machine: Machine) = !machine.trusted && machine.retirement == null && machine.placements.isNotEmpty()

    private fun call(machine: Machine, addr: String, session: Long, again: Boolean) {
        out.direct(addr, sliceState.tokenFor(machine), session, emptyList()) { reply ->
            val report = (reply as? Reply.Answer)?.let { answered(machine, it) }
            // Refused for its session, which the answer tells.
            if (report != null && again && report.token < sliceState.token) call(machine, addr, report.session, again = false)
        }
    }

    private companion object {
        const val LIST_AFTER_MS = 2_500L
        const val LIST_EVERY_MS = 4_000L
        const val LIST_FOR_MS = 30_000L
    }
}
