package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException

/**
 * Actions of operators: target overrides, exclusions, drains, and queries about them.
 *
 * Each action reads the cluster's keys, checks that it is possible, and is stored on condition that what it was checked
 * against still holds. When two operators act at once, the second action is refused with a list of the keys that have
 * changed, so that the operator can look at what the first one has done. An action that conflicts only with a gate
 * transition by the leader is planned again on the new state, at most [MAX_ATTEMPTS] times in all.
 */
class RolloutAdministration(
    private val registry: FeatureRegistry,
    private val configured: Set<String>,
    private val records: ClusterRecords,
    private val wallTime: () -> Long,
    private val store: RolloutStore,
) {
    /** Reads the current state of the rollout. */
    fun status(done: (StatusResult) -> Unit) = store.list(Keys.CLUSTER) { done(statusOf(it)) }

    /** Stores [target] as the target of [feature]; the leader changes its gate as soon as that is possible. */
    fun setTarget(
        feature: FeatureName,
        target: Target,
        attribution: Attribution,
        done: (AdministrationResult) -> Unit,
    ) = perform(done) { status ->
        val registered = registry[feature] ?: return@perform refused(
            "there is no feature $feature; known are ${registry.inOrder.joinToString { it.name.value }}",
        )
        val record = status.view.gates.record
        val refusal = when {
            feature in status.snapshot.externallyFinalized -> "$feature is finalized"
            target == Target.DORMANT -> Reversal.refusal(registry, registered, record)
            else -> dormantDependencyRefusal(registered, record, status)
        }
        if (refusal != null) {
            refused(refusal)
        } else {
            PlannedAction.Put(record.withTargetOverride(feature, target, provenanceOf(attribution)), emptyList())
        }
    }

    private fun dormantDependencyRefusal(feature: Feature, record: RolloutRecord, status: RolloutStatus): String? {
        fun isHeldDormant(name: FeatureName) =
            record.targetOverrides[name]?.target == Target.DORMANT && !status.snapshot.stateOf(name, record).isActive
        val dependency = feature.dependsOn.firstOrNull(::isHeldDormant) ?: return null
        return "${feature.name} depends on $dependency, which is wished dormant"
    }

    /** Excludes [label], which must have no membership key, own no shard and not be the last participant. */
    fun exclude(label: String, attribution: Attribution, done: (AdministrationResult) -> Unit) =
        perform(done) { status ->
            val record = status.view.gates.record
            val owned = status.snapshot.shards.indexOfFirst { it?.owner == label }
            when {
                label !in configured -> {
                    refused("there is no controller $label; known are ${configured.sorted().joinToString()}")
                }
                label in record.exclusions -> refused("$label is excluded already")
                status.snapshot.participants(record).size == 1 -> refused("$label is the last controller that counts")
                label in status.snapshot.present -> refused("$label is alive; stop it first")
                owned >= 0 -> refused("$label still owns shard $owned; another controller takes it within seconds")
                // At the moment of the change its key must still be absent, and no shard may have changed its owner.
                else -> PlannedAction.Put(
                    record.withExcluded(label, provenanceOf(attribution)),
                    status.snapshot.preconditionsOf(label),
                )
            }
        }

    /** Ends the exclusion of [label]. */
    fun include(label: String, attribution: Attribution, done: (AdministrationResult) -> Unit) =
        perform(done) { status ->
            val record = status.view.gates.record
            if (label !in record.exclusions) {
                refused("$label is not excluded")
            } else {
                PlannedAction.Put(record.withIncluded(label, provenanceOf(attribution)), emptyList())
            }
        }

    /** Orders the process that currently runs as [label] to release its shards; the order ends with that process. */
    fun drain(label: String, attribution: Attribution, done: (AdministrationResult) -> Unit) = perform(done) { status ->
        val incarnation = status.snapshot.present[label]?.versions?.incarnation
        val others = status.snapshot.participants(status.view.gates.record) - label
        val absent = others.firstOrNull { it !in status.snapshot.present }
        val draining = others.firstOrNull { status.isDraining(it) }
        when {
            label !in configured -> refused("there is no controller $label")
            incarnation == null -> refused("$label is silent, or of a version that cannot be drained")
            others.isEmpty() -> refused("$label is the last controller that counts")
            absent != null -> refused("$absent is silent; its shards would come to fewer controllers still")
            draining != null -> refused("$draining is being drained; one at a time")
            else -> PlannedAction.Drain(
                label,
                DrainOrder(incarnation, provenanceOf(attribution)),
                status.view.drainOrderOf(label)?.version ?: 0L,
            )
        }
    }

    /** Cancels the drain order for [label], which may then acquire shards again. */
    fun endDrain(label: String, done: (AdministrationResult) -> Unit) = perform(done) { status ->
        val stored = status.view.drainOrderOf(label)
        if (stored == null) refused("$label is not being drained") else PlannedAction.EndDrain(label, stored.version)
    }

    /** Queries whether [label] may be stopped now. */
    fun readiness(label: String, done: (Readiness) -> Unit) = status { result ->
        val readiness = when (result) {
            is StatusResult.Known -> Readiness.of(label, result.status)
            is StatusResult.Unknown -> Readiness.NotReady(listOf(result.reason))
        }
        done(readiness)
    }

    private fun provenanceOf(attribution: Attribution) = Provenance.of(attribution.by, wallTime(), attribution.reason)

    /** What an action is about to store, or why it is refused. */
    private sealed interface PlannedAction {
        class Refused(val reason: String) : PlannedAction

        class Put(val record: RolloutRecord, val preconditions: List<Precondition>) : PlannedAction

        class Drain(val label: String, val order: DrainOrder, val version: Long) : PlannedAction

        class EndDrain(val label: String, val version: Long) : PlannedAction
    }

    private fun refused(reason: String): PlannedAction = PlannedAction.Refused(reason)

    private fun statusOf(result: ListResult): StatusResult = when (result) {
        ListResult.Failed -> StatusResult.Unknown("the store does not answer")
        is ListResult.Listing -> try {
            StatusResult.Known(statusOf(result.items))
        } catch (e: MalformedException) {
            StatusResult.Unknown("a record of the cluster cannot be read: ${e.message}")
        }
    }

    private fun statusOf(items: List<StoredItem>): RolloutStatus {
        val view = RolloutView(registry, OPERATOR_LABEL)
        items.forEach { view.applyRecord(it.path, it.value, it.version) }
        val snapshot = view.snapshot(configured, records.shardOwners(items), records.externallyFinalized(items))
        return RolloutStatus(view, snapshot, RolloutPlanner(registry).plan(view.gates.record, snapshot).waitReasons)
    }

    /** Plans an action on the currently stored state, and stores it. */
    private fun perform(done: (AdministrationResult) -> Unit, plan: (RolloutStatus) -> PlannedAction) =
        attempt(PendingAction(done, plan), MAX_ATTEMPTS)

    /** An action whose result is not known yet. */
    private class PendingAction(val done: (AdministrationResult) -> Unit, val plan: (RolloutStatus) -> PlannedAction) {
        /** The decisions of operators that were stored when the action was first planned. */
        var decisionsSeen: OperatorDecisions? = null
    }

    /** The parts of the rollout record that operators change, as opposed to the leader's gate transitions. */
    private data class OperatorDecisions(
        val targetOverrides: Map<FeatureName, TargetOverride>,
        val exclusions: Map<String, Provenance>,
    )

    private fun attempt(action: PendingAction, attemptsLeft: Int) = status { result ->
        when (result) {
            is StatusResult.Known -> attempt(action, result.status, attemptsLeft)
            is StatusResult.Unknown -> action.done(AdministrationResult.Refused(result.reason))
        }
    }

    private fun attempt(action: PendingAction, status: RolloutStatus, attemptsLeft: Int) {
        val record = status.view.gates.record
        val decisions = OperatorDecisions(record.targetOverrides, record.exclusions)
        val seen = action.decisionsSeen ?: decisions.also { action.decisionsSeen = it }
        when (val admission = status.view.admission) {
            is Admission.RecordUnreadable -> action.done(AdministrationResult.Refused(admission.reason))
            is Admission.Incompatible -> action.done(AdministrationResult.Refused(admission.reason))
            Admission.Admitted, Admission.Excluded ->
                if (decisions == seen) {
                    store(action, status, attemptsLeft)
                } else {
                    action.done(AdministrationResult.Refused(changedMeanwhile(setOf(Keys.ROLLOUT))))
                }
        }
    }

    private fun store(action: PendingAction, status: RolloutStatus, attemptsLeft: Int) {
        val transaction = when (val planned = action.plan(status)) {
            is PlannedAction.Refused -> return action.done(AdministrationResult.Refused(planned.reason))
            is PlannedAction.Put -> PlannedWrite(
                planned.preconditions + status.view.gates.precondition,
                Write.Put(Keys.ROLLOUT, planned.record.toFields()),
            )
            is PlannedAction.Drain -> Keys.drain(planned.label).let { path ->
                val preconditions = listOf(Precondition(path, planned.version), status.view.gates.precondition)
                PlannedWrite(preconditions, Write.Put(path, planned.order.toFields()))
            }
            is PlannedAction.EndDrain -> Keys.drain(planned.label).let { path ->
                PlannedWrite(listOf(Precondition(path, planned.version)), Write.Delete(path))
            }
        }
        commit(transaction) { outcome ->
            when (outcome) {
                is CommitOutcome.Applied -> action.done(AdministrationResult.Done)
                is CommitOutcome.Conflict -> onConflict(action, outcome.failedPaths, attemptsLeft)
                is CommitOutcome.Refused -> action.done(AdministrationResult.Refused(outcome.reason))
            }
        }
    }

    /** Gate transitions by the leader change the same record: a conflict on it alone does not rule the action out. */
    private fun onConflict(action: PendingAction, failedPaths: Set<String>, attemptsLeft: Int) {
        if (failedPaths == setOf(Keys.ROLLOUT) && attemptsLeft > 1) {
            attempt(action, attemptsLeft - 1)
        } else {
            action.done(AdministrationResult.Refused(changedMeanwhile(failedPaths)))
        }
    }

    private fun changedMeanwhile(paths: Set<String>) = "${paths.joinToString()} changed meanwhile; look again"

    /** What an action stores, and what must still hold at that moment. */
    private class PlannedWrite(val preconditions: List<Precondition>, val write: Write)

    private fun commit(planned: PlannedWrite, done: (CommitOutcome) -> Unit) = store.commit(
        CasTransaction(planned.preconditions, listOf(planned.write), WritePriority.USER, done),
    )

    private companion object {
        /** How often an action is planned in all if it conflicts with gate transitions by the leader. */
        const val MAX_ATTEMPTS = 5

        /** A label that no controller has. */
        const val OPERATOR_LABEL = ""
    }
}
