package io.reedmast.machines

import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/** Decommissions machines whose heartbeats arrive but which answers do not reach. */
internal class UnreachableMachineDetector(private val shardState: ShardState) {
    private val log = LoggerFactory.getLogger("shard")

    /**
     * Decommissions the machines that have not acknowledged several answers in a row. If that applies to many machines
     * at once, it is more likely that this controller's own answers get lost: then counting starts again for all of
     * them.
     */
    fun decommissionUnreachable() {
        val unreachable = shardState.machines.values.filter {
            it.unacknowledgedAnswers >= Machine.UNREACHABLE_AFTER_ANSWERS && it.decommissionReason == null &&
                !it.isContested
        }
        if (unreachable.isEmpty()) return
        if (unreachable.size > maxOf(MAX_UNREACHABLE, shardState.machines.size / MIN_MACHINES_PER_UNREACHABLE)) {
            log.info(
                "shard {}: {} machines seem unreachable, which suggests a fault of this controller",
                shardState.index.value,
                unreachable.size,
            )
            unreachable.forEach { it.unacknowledgedAnswers = 0 }
        } else {
            unreachable.forEach { decommission(it) }
        }
    }

    private fun decommission(machine: Machine) {
        log.info("machine {}: sends heartbeats but is unreachable, decommissioned", machine.name)
        machine.decommissionReason = DecommissionReason.UNREACHABLE
    }

    private companion object {
        /** How many machines may be unreachable at once in any shard. */
        const val MAX_UNREACHABLE = 3

        /** In a large shard, one in this many machines may be unreachable at once. */
        const val MIN_MACHINES_PER_UNREACHABLE = 4
    }
}
