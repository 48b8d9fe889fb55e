package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import org.slf4j.LoggerFactory

/**
 * Moves gates, on the leader.
 *
 * Each move is one conditional write: the leader's key, the record of the rollout and, where every controller matters,
 * their membership keys and the shards must be as they were seen. A leader who has been replaced, or has seen too
 * little, therefore moves nothing.
 *
 * @param maxPreconditions how many conditions a transaction takes
 * @param reread reads the record of the rollout again
 */
class RolloutCoordinator(
    private val registry: FeatureRegistry,
    private val self: String,
    private val wall: () -> Long,
    private val store: RolloutStore,
    private val view: RolloutView,
    private val maxPreconditions: Int,
    private val reread: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("rollout")
    private val decision = RolloutPlanner(registry)
    private var loggedReasons: Map<FeatureName, String> = emptyMap()
    private var storing = false

    /** Why gates stay as they are although somebody wishes otherwise. */
    val waitReasons: Map<FeatureName, String> get() = loggedReasons

    /**
     * Called regularly while this controller leads, hears the store and is admitted; [leaderVersion] is the
     * version of its key.
     */
    fun runOnce(leaderVersion: Long, snapshot: ClusterSnapshot) {
        if (storing) return
        val gates = view.gates
        val plan = decision.plan(gates.record, snapshot)
        report(plan.waitReasons)
        plan.move?.let { store(it, gates, leaderVersion) }
    }

    private fun report(waitReasons: Map<FeatureName, String>) {
        for ((feature, reason) in waitReasons) {
            if (loggedReasons[feature] != reason) log.info("feature {}: waits, {}", feature, reason)
        }
        loggedReasons = waitReasons
    }

    private fun store(move: GateTransition, gates: GateSnapshot, leaderVersion: Long) {
        val preconditions = listOf(Precondition(Keys.LEADER, leaderVersion), gates.precondition) + move.preconditions
        if (preconditions.size > maxPreconditions) {
            val reason = "${preconditions.size} conditions are needed, a transaction takes $maxPreconditions"
            report(loggedReasons + (move.feature.name to reason))
            return
        }
        storing = true
        val moved = gates.record.withGateState(move.feature, move.to, Provenance.of(self, wall(), move.reason))
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(Keys.ROLLOUT, moved.toFields())),
                WritePriority.URGENT,
            ) { outcome ->
                storing = false
                onMoveResolved(move, moved, outcome)
            },
        )
    }

    private fun onMoveResolved(move: GateTransition, moved: RolloutRecord, outcome: CommitOutcome) = when (outcome) {
        is CommitOutcome.Applied -> {
            log.info("feature {}: {}, since {}", move.feature.name, move.to.storedName, move.reason)
            view.applyRecord(Keys.ROLLOUT, moved.toFields(), outcome.revision)
        }

        is CommitOutcome.Conflict -> reread()

        is CommitOutcome.Refused -> {
            log.error("feature {}: the store refused its transition: {}", move.feature.name, outcome.reason)
        }
    }

    /** This process was excluded and its versions fit: it counts again from the moment that this is stored. */
    fun rejoin() {
        if (storing) return
        storing = true
        val gates = view.gates
        val by = gates.record.excluded[self]
        log.info("controller: excluded by {} ({}), asks to be included again", by?.by, by?.reason)
        val included = gates.record.withIncluded(
            self,
            Provenance.of(self, wall(), "back with versions ${registry.range}"),
        )
        store.commit(
            CasTransaction(
                listOf(gates.precondition),
                listOf(Write.Put(Keys.ROLLOUT, included.toFields())),
            ) { outcome ->
                storing = false
                if (outcome is CommitOutcome.Applied) {
                    view.applyRecord(Keys.ROLLOUT, included.toFields(), outcome.revision)
                } else {
                    reread()
                }
            },
        )
    }
}
