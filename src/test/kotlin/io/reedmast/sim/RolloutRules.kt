package io.reedmast.sim

import io.reedmast.cluster.ClusterFeatures
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.Write
import io.reedmast.persistence.DensePages
import io.reedmast.rollout.GateState
import io.reedmast.rollout.RolloutRecord
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import io.reedmast.wire.StoreMessages

/**
 * Checks the rules of the rollout on every value that is stored and every page that is read, against the stored rollout
 * record: gates make only allowed moves, and no process writes or reads a form that the gates do not allow it.
 */
class RolloutRules(private val world: World) {
    private var record = RolloutRecord()

    private fun formOf(path: String, value: Fields) = when {
        path.startsWith("page/") -> DensePages.FEATURE to DensePages.isDense(value)
        path == Keys.TOKEN_COUNTER -> ClusterFeatures.FENCED_TOKENS to ("fencedToken" in value)
        else -> null
    }

    /** Checks a value that has just been stored. */
    fun checkStored(path: String, value: Fields) {
        if (path == Keys.ROLLOUT) checkGateMoves(value)
        val (feature, isNew) = formOf(path, value) ?: return
        val gateState = record.stateOf(feature)
        val newAllowed = gateState == GateState.ENABLED || gateState == GateState.FINALIZED
        if (path == Keys.TOKEN_COUNTER && !isNew && isAcquisitionBeforeRollouts(value)) return
        if (path == Keys.TOKEN_COUNTER) isCounterUnfenced = !isNew
        if (isNew !=
            newAllowed
        ) {
            world.rules.addViolation(
                "wrong_form $path is stored ${if (isNew) "in the new" else "in the old"} form " +
                    "while $feature is ${gateState.storedName}",
            )
        }
    }

    private var isCounterUnfenced = true

    /**
     * Whether the value was written by a version that predates rollouts, while the counter is still in the open form.
     * Such a version may acquire shards until the counter has been migrated; features that depend on the fenced form
     * are not enabled before that.
     */
    private fun isAcquisitionBeforeRollouts(value: Fields): Boolean {
        val sender = StoreMessages.transactionId(value) ?: return false
        return isCounterUnfenced && world.controllers.any { it.predatedRollouts(sender) }
    }

    /**
     * Every put that lets a process participate in the cluster, or whose form depends on the gates, must have the
     * precondition that the gates have not changed since the process read them.
     */
    fun checkSent(transaction: StoreTransaction) {
        val sender = world.controllers.firstOrNull { transaction.id.startsWith("${it.label}-") } ?: return
        // A delayed transaction was sent by the process that ran then, whatever version runs there now.
        if (sender.predatedRollouts(transaction.id) || transaction.preconditions.any { it.path == Keys.ROLLOUT }) return
        transaction.writes.filterIsInstance<Write.Put>().filter { put ->
            guardedPrefixes.any { put.path.startsWith(it) }
        }
            .forEach { world.rules.addViolation("unconditional ${it.path} by ${sender.label}") }
    }

    private fun checkGateMoves(value: Fields) {
        val next = try {
            RolloutRecord.parse(value)
        } catch (e: MalformedException) {
            return
        }
        for ((name, gate) in next.gates) {
            val previous = record.stateOf(name)
            if (gate.state != previous && gate.state !in allowedMoves.getValue(previous)) {
                world.rules.addViolation("gate_jumped $name from ${previous.storedName} to ${gate.state.storedName}")
            }
            if (gate.state == GateState.ENABLED &&
                previous != GateState.ENABLED
            ) {
                checkAllCanRead(gate.requires.value, next, "$name is enabled")
            }
        }
        if (next.finalizedVersion <
            record.finalizedVersion
        ) {
            world.rules.addViolation("version_fell to ${next.finalizedVersion}")
        }
        record = next
    }

    /** Every running controller that owns a shard and is not excluded must read what may be written from now on. */
    private fun checkAllCanRead(version: Int, next: RolloutRecord, event: String) {
        for (controller in world.controllers) {
            if (controller.label in next.exclusions || !controller.up || controller.terminationReason != null) continue
            val owns = controller.process?.cluster?.activeOwners().orEmpty().isNotEmpty()
            if (owns &&
                controller.newestReadableVersion < version
            ) {
                world.rules.addViolation("unreadable_for ${controller.label}: $event")
            }
        }
    }

    /** Checks that the process can read the form of the pages of a shard that it has acquired. */
    fun checkRead(controller: SimController, items: List<Pair<String, Fields>>) {
        val dense =
            items.firstOrNull { (path, value) -> path.startsWith("page/") && DensePages.isDense(value) } ?: return
        if (controller.newestReadableVersion <
            ClusterFeatures.densePages.requires.value
        ) {
            world.rules.addViolation("read_too_new ${controller.label} reads ${dense.first}")
        }
    }

    private companion object {
        val guardedPrefixes =
            listOf(Keys.MEMBERS, Keys.LEADER, Keys.TOKEN_COUNTER, "page/", Keys.ROLLOUT, Keys.MIGRATIONS)
        val allowedMoves = mapOf(
            GateState.DORMANT to setOf(GateState.READY),
            GateState.READY to setOf(GateState.DORMANT, GateState.ENABLED),
            GateState.ENABLED to setOf(GateState.REVERTING, GateState.FINALIZED),
            GateState.REVERTING to setOf(GateState.ENABLED, GateState.DORMANT),
            GateState.FINALIZED to emptySet(),
        )
    }
}
