package io.reedmast.machines

import io.reedmast.model.DecommissionReason
import io.reedmast.model.Machine
import io.reedmast.model.ShardState
import org.slf4j.LoggerFactory

/** Decommissions machines that send heartbeats and that no answer reaches. */
internal class UnreachableMachineDetector(private val shardState: ShardState) {
    private val log = LoggerFactory.getLogger("shard")

    /** Several at once would rather be this controller's own answers that get lost: then all are counted anew. */
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
        /** So many may be unreachable at once in any shard, and one in so many in a large one. */
        const val MAX_UNREACHABLE = 3
        const val MIN_MACHINES_PER_UNREACHABLE = 4
    }
}
