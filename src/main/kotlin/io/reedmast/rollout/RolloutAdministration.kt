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
 * The acts of operators: wishes, exclusions, drains, and questions about them.
 *
 * Each act reads the cluster's keys, checks that it can be done, and stores it on condition that what it was checked
 * against still holds. Of two operators who act at once the second is told so, and sees what the first has done. An act
 * that only met a move of the leader's is planned anew on what then stands, a few times at most.
 */
class RolloutAdministration(
    private val registry: FeatureRegistry,
    private val configured: Set<String>,
    private val records: ClusterRecords,
    private val wall: () -> Long,
    private val store: RolloutStore,
) {
    /** Reads the state of the rollout. */
    fun status(done: (StatusResult) -> Unit) = store.list(Keys.CLUSTER) { done(statusOf(it)) }

    /** Records that [feature] is to come to [target]; the leader moves its gate as soon as that is possible. */
    fun setTarget(feature: FeatureName, target: Target, act: Attribution, done: (AdministrationResult) -> Unit) =
        change(done) { status ->
            val known = registry[feature] ?: return@change refused(
                "there is no feature $feature; known are ${registry.inOrder.joinToString { it.name.value }}",
            )
            val record = status.view.gates.record
            val refusal = when {
                feature in status.snapshot.externallyFinalized -> "$feature is finalized"
                target == Target.DORMANT -> Reversal.refusal(registry, known, record)
                else -> dependencyNotWished(known, record, status)
            }
            if (refusal !=
                null
            ) {
                refused(refusal)
            } else {
                Planned.Put(record.withTargetOverride(feature, target, provenanceOf(act)), emptyList())
            }
        }

    private fun dependencyNotWished(feature: Feature, record: RolloutRecord, status: RolloutStatus): String? {
        fun isWishedDormant(name: FeatureName) =
            record.targetOverrides[name]?.target == Target.DORMANT && !status.snapshot.stateOf(name, record).isActive
        val dependency = feature.dependsOn.firstOrNull(::isWishedDormant) ?: return null
        return "${feature.name} depends on $dependency, which is wished dormant"
    }

    /** [label] does not count any more: it must be silent, must own nothing, and must not be the last one. */
    fun exclude(label: String, act: Attribution, done: (AdministrationResult) -> Unit) = change(done) { status ->
        val record = status.view.gates.record
        val owned = status.snapshot.shards.indexOfFirst { it?.owner == label }
        when {
            label !in configured -> {
                refused("there is no controller $label; known are ${configured.sorted().joinToString()}")
            }
            label in record.excluded -> refused("$label is excluded already")
            status.snapshot.participants(record).size == 1 -> refused("$label is the last controller that counts")
            label in status.snapshot.present -> refused("$label is alive; stop it first")
            owned >= 0 -> refused("$label still owns shard $owned; another controller takes it within seconds")
            // Its key must not be there, and no shard may have been taken, at the moment of the change.
            else -> Planned.Put(record.withExcluded(label, provenanceOf(act)), status.snapshot.preconditionsOf(label))
        }
    }

    /** [label] counts again. */
    fun include(label: String, act: Attribution, done: (AdministrationResult) -> Unit) = change(done) { status ->
        val record = status.view.gates.record
        if (label !in record.excluded) {
            refused("$label is not excluded")
        } else {
            Planned.Put(record.withIncluded(label, provenanceOf(act)), emptyList())
        }
    }

    /** The process that runs as [label] now gives its shards up; the order ends with that process. */
    fun drain(label: String, act: Attribution, done: (AdministrationResult) -> Unit) = change(done) { status ->
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
            else -> Planned.Drain(
                label,
                DrainOrder(incarnation, provenanceOf(act)),
                status.view.drainOrderOf(label)?.version ?: 0L,
            )
        }
    }

    /** [label] takes shards again. */
    fun endDrain(label: String, done: (AdministrationResult) -> Unit) = change(done) { status ->
        val stored = status.view.drainOrderOf(label)
        if (stored == null) refused("$label is not being drained") else Planned.EndDrain(label, stored.version)
    }

    /** Whether [label] may be stopped now without harm. */
    fun readiness(label: String, done: (Readiness) -> Unit) = status { result ->
        val readiness = when (result) {
            is StatusResult.Known -> Readiness.of(label, result.status)
            is StatusResult.Unknown -> Readiness.NotReady(listOf(result.reason))
        }
        done(readiness)
    }

    private fun provenanceOf(act: Attribution) = Provenance.of(act.by, wall(), act.reason)

    /** What an act is about to store. */
    private sealed interface Planned {
        class Refused(val reason: String) : Planned

        class Put(val record: RolloutRecord, val preconditions: List<Precondition>) : Planned

        class Drain(val label: String, val order: DrainOrder, val version: Long) : Planned

        class EndDrain(val label: String, val version: Long) : Planned
    }

    private fun refused(reason: String): Planned = Planned.Refused(reason)

    private fun statusOf(result: ListResult): StatusResult = when (result) {
        ListResult.Failed -> StatusResult.Unknown("the store does not answer")
        is ListResult.Listing -> try {
            StatusResult.Known(statusOf(result.items))
        } catch (e: MalformedException) {
            StatusResult.Unknown("a record of the cluster cannot be read: ${e.message}")
        }
    }

    private fun statusOf(items: List<StoredItem>): RolloutStatus {
        val view = RolloutView(registry, OPERATOR)
        items.forEach { view.applyRecord(it.path, it.value, it.version) }
        val snapshot = view.snapshot(configured, records.shardOwners(items), records.externallyFinalized(items))
        return RolloutStatus(view, snapshot, RolloutPlanner(registry).plan(view.gates.record, snapshot).waitReasons)
    }

    /** Plans an act on what is stored now, and stores it. */
    private fun change(done: (AdministrationResult) -> Unit, plan: (RolloutStatus) -> Planned) =
        attempt(PendingAct(done, plan), MAX_ATTEMPTS)

    /** An act whose result is not known yet. */
    private class PendingAct(val done: (AdministrationResult) -> Unit, val plan: (RolloutStatus) -> Planned) {
        /** What operators had decided when the act was first planned. */
        var decisionsSeen: OperatorDecisions? = null
    }

    /** What operators have decided of the rollout, as opposed to the moves of the leader. */
    private data class OperatorDecisions(
        val targetOverrides: Map<FeatureName, TargetOverride>,
        val excluded: Map<String, Provenance>,
    )

    private fun attempt(act: PendingAct, attemptsLeft: Int) = status { result ->
        when (result) {
            is StatusResult.Known -> attempt(act, result.status, attemptsLeft)
            is StatusResult.Unknown -> act.done(AdministrationResult.Refused(result.reason))
        }
    }

    private fun attempt(act: PendingAct, status: RolloutStatus, attemptsLeft: Int) {
        val record = status.view.gates.record
        val decisions = OperatorDecisions(record.targetOverrides, record.excluded)
        val seen = act.decisionsSeen ?: decisions.also { act.decisionsSeen = it }
        when (val admission = status.view.admission) {
            is Admission.RecordUnreadable -> act.done(AdministrationResult.Refused(admission.reason))
            is Admission.Incompatible -> act.done(AdministrationResult.Refused(admission.reason))
            Admission.Admitted, Admission.Excluded ->
                if (decisions == seen) {
                    store(act, status, attemptsLeft)
                } else {
                    act.done(AdministrationResult.Refused(changedMeanwhile(setOf(Keys.ROLLOUT))))
                }
        }
    }

    private fun store(act: PendingAct, status: RolloutStatus, attemptsLeft: Int) {
        val transaction = when (val planned = act.plan(status)) {
            is Planned.Refused -> return act.done(AdministrationResult.Refused(planned.reason))
            is Planned.Put -> PlannedWrite(
                planned.preconditions + status.view.gates.precondition,
                Write.Put(Keys.ROLLOUT, planned.record.toFields()),
            )
            is Planned.Drain -> Keys.drain(planned.label).let { path ->
                val preconditions = listOf(Precondition(path, planned.version), status.view.gates.precondition)
                PlannedWrite(preconditions, Write.Put(path, planned.order.toFields()))
            }
            is Planned.EndDrain -> Keys.drain(planned.label).let { path ->
                PlannedWrite(listOf(Precondition(path, planned.version)), Write.Delete(path))
            }
        }
        commit(transaction) { outcome ->
            when (outcome) {
                is CommitOutcome.Applied -> act.done(AdministrationResult.Done)
                is CommitOutcome.Conflict -> onConflict(act, outcome.failedPaths, attemptsLeft)
                is CommitOutcome.Refused -> act.done(AdministrationResult.Refused(outcome.reason))
            }
        }
    }

    /** The leader moves gates by the same record: only that it has changed says nothing against the act. */
    private fun onConflict(act: PendingAct, failedPaths: Set<String>, attemptsLeft: Int) {
        if (failedPaths == setOf(Keys.ROLLOUT) && attemptsLeft > 1) {
            attempt(act, attemptsLeft - 1)
        } else {
            act.done(AdministrationResult.Refused(changedMeanwhile(failedPaths)))
        }
    }

    private fun changedMeanwhile(paths: Set<String>) = "${paths.joinToString()} changed meanwhile; look again"

    /** What an act stores, and what must still hold. */
    private class PlannedWrite(val preconditions: List<Precondition>, val write: Write)

    private fun commit(planned: PlannedWrite, done: (CommitOutcome) -> Unit) = store.commit(
        CasTransaction(planned.preconditions, listOf(planned.write), WritePriority.USER, done),
    )

    private companion object {
        /** How often an act is planned that meets moves of the leader's. */
        const val MAX_ATTEMPTS = 5

        /** No controller has this label. */
        const val OPERATOR = ""
    }
}
