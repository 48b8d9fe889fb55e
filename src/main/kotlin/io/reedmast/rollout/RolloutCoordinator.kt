package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import org.slf4j.LoggerFactory

/**
 * Carries out gate transitions, on the leader.
 *
 * Each transition is one conditional write: the leader key, the rollout record and, for transitions that depend on
 * every controller, the membership keys and the shards must be as this process has read them. A leader that has been
 * replaced, or whose view is out of date, can therefore change nothing.
 *
 * @param maxPreconditions the maximum number of preconditions of a transaction
 * @param reread reads the rollout record again
 */
class RolloutCoordinator(
    private val registry: FeatureRegistry,
    private val self: String,
    private val wallTime: () -> Long,
    private val store: RolloutStore,
    private val view: RolloutView,
    private val maxPreconditions: Int,
    private val reread: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("rollout")
    private val planner = RolloutPlanner(registry)
    private var loggedReasons: Map<FeatureName, String> = emptyMap()
    private var isStoring = false

    /** Why gates keep their state although another one is requested. */
    val waitReasons: Map<FeatureName, String> get() = loggedReasons

    /**
     * Called periodically while this controller leads, is admitted and the store answers; [leaderVersion] is the
     * version of the leader key.
     */
    fun runOnce(leaderVersion: Long, snapshot: ClusterSnapshot) {
        if (isStoring) return
        val gates = view.gates
        val plan = planner.plan(gates.record, snapshot)
        updateWaitReasons(plan.waitReasons)
        plan.transition?.let { storeTransition(it, gates, leaderVersion) }
    }

    private fun updateWaitReasons(waitReasons: Map<FeatureName, String>) {
        for ((feature, reason) in waitReasons) {
            if (loggedReasons[feature] != reason) log.info("feature {}: waiting: {}", feature, reason)
        }
        loggedReasons = waitReasons
    }

    private fun storeTransition(transition: GateTransition, gates: GateSnapshot, leaderVersion: Long) {
        val preconditions =
            listOf(Precondition(Keys.LEADER, leaderVersion), gates.precondition) + transition.preconditions
        if (preconditions.size > maxPreconditions) {
            val reason = "${preconditions.size} conditions are needed, a transaction takes $maxPreconditions"
            updateWaitReasons(loggedReasons + (transition.feature.name to reason))
            return
        }
        isStoring = true
        val updatedRecord = gates.record.withGateState(
            transition.feature,
            transition.to,
            Provenance.of(self, wallTime(), transition.reason),
        )
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(Keys.ROLLOUT, updatedRecord.toFields())),
                WritePriority.URGENT,
            ) { outcome ->
                isStoring = false
                onTransitionResolved(transition, updatedRecord, outcome)
            },
        )
    }

    private fun onTransitionResolved(transition: GateTransition, updatedRecord: RolloutRecord, outcome: CommitOutcome) =
        when (outcome) {
            is CommitOutcome.Applied -> {
                log.info(
                    "feature {}: gate is now {}: {}",
                    transition.feature.name,
                    transition.to.storedName,
                    transition.reason,
                )
                view.applyRecord(Keys.ROLLOUT, updatedRecord.toFields(), outcome.revision)
            }

            is CommitOutcome.Conflict -> reread()

            is CommitOutcome.Refused -> {
                log.error("feature {}: store refused the gate transition: {}", transition.feature.name, outcome.reason)
            }
        }

    /** Includes this excluded controller, whose versions are compatible, again: from the moment that this is stored. */
    fun rejoin() {
        if (isStoring) return
        isStoring = true
        val gates = view.gates
        val exclusion = gates.record.exclusions[self]
        log.info("controller: excluded by {} ({}); requesting inclusion", exclusion?.by, exclusion?.reason)
        val updatedRecord = gates.record.withIncluded(
            self,
            Provenance.of(self, wallTime(), "back with versions ${registry.range}"),
        )
        store.commit(
            CasTransaction(
                listOf(gates.precondition),
                listOf(Write.Put(Keys.ROLLOUT, updatedRecord.toFields())),
            ) { outcome ->
                isStoring = false
                if (outcome is CommitOutcome.Applied) {
                    view.applyRecord(Keys.ROLLOUT, updatedRecord.toFields(), outcome.revision)
                } else {
                    reread()
                }
            },
        )
    }
}
