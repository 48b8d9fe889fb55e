package io.reedmast.rollout

import io.reedmast.kvstore.Precondition

/**
 * The next move of a gate.
 *
 * @property preconditions what must still hold when the move is stored, besides the leader's key and the record itself
 */
class GateTransition(val feature: Feature, val to: GateState, val reason: String, val preconditions: List<Precondition>)

/**
 * What follows from a snapshot of the cluster: at most one move, and why the other gates stay as they are although they
 * should not.
 */
class RolloutPlan(val move: GateTransition?, val waitReasons: Map<FeatureName, String>)

/**
 * Decides which gate moves next. Pure: the leader stores the move under its term, on condition that what it saw still
 * holds.
 */
class RolloutPlanner(private val registry: FeatureRegistry) {
    /** Why a gate stays, or the move that it makes. */
    private sealed interface Verdict {
        class Moves(val move: GateTransition) : Verdict

        class Waits(val reason: String) : Verdict

        data object Stays : Verdict
    }

    /** The first gate that can move, in the order of dependencies, and why the gates before it wait. */
    fun plan(record: RolloutRecord, snapshot: ClusterSnapshot): RolloutPlan {
        val waitReasons = LinkedHashMap<FeatureName, String>()
        // What is taken back is taken back from the end of the dependencies.
        for (feature in registry.inOrder) {
            if (feature.name in snapshot.externallyFinalized) continue
            when (val verdict = FeatureEvaluation(feature, record, snapshot).verdict()) {
                is Verdict.Moves -> return RolloutPlan(verdict.move, waitReasons)
                is Verdict.Waits -> waitReasons[feature.name] = verdict.reason
                Verdict.Stays -> Unit
            }
        }
        return RolloutPlan(null, waitReasons)
    }

    /** One feature in one snapshot. */
    private inner class FeatureEvaluation(
        private val feature: Feature,
        private val record: RolloutRecord,
        private val snapshot: ClusterSnapshot,
    ) {
        private val counted = snapshot.participants(record)
        private val unfit = counted.firstOrNull { label ->
            snapshot.present[label]?.let { feature.requires !in it.versions.range } ?: false
        }
        private val absent = counted.firstOrNull { it !in snapshot.present }

        fun verdict(): Verdict {
            val target = target()
            return when (record.stateOf(feature.name)) {
                GateState.DORMANT -> if (target.wantsEnabled) ready() else target.orStays()
                GateState.READY -> readyNext(target)
                GateState.ENABLED -> enabledNext(target)
                GateState.REVERTING -> revertingNext(target)
                GateState.FINALIZED -> if (target.requested == Target.DORMANT) {
                    Verdict.Waits("it is finalized and stays")
                } else {
                    Verdict.Stays
                }
            }
        }

        private fun moves(to: GateState, reason: String, preconditions: List<Precondition> = emptyList()) =
            Verdict.Moves(GateTransition(feature, to, reason, preconditions))

        private fun ready(): Verdict = missing()?.let { Verdict.Waits(it) }
            ?: moves(GateState.READY, "every controller reads version ${feature.requires}", preconditions())

        private fun preconditions() = snapshot.preconditions(record)

        private fun missing(): String? = when {
            unfit != null -> {
                val range = snapshot.present[unfit]?.versions?.range
                "$unfit has versions $range, ${feature.requires} is required"
            }
            absent != null -> "$absent is silent"
            else -> null
        }

        private fun readyNext(target: TargetRequest): Verdict = when {
            unfit != null -> moves(GateState.DORMANT, missing().orEmpty())
            !target.wantsEnabled -> target.orStays()
            else -> (missing() ?: dependenciesMissing(finalized = false) ?: shardInOtherHands())?.let {
                Verdict.Waits(it)
            }
                ?: moves(GateState.ENABLED, target.reason, preconditions())
        }

        private fun dependenciesMissing(finalized: Boolean): String? = feature.dependsOn.firstNotNullOfOrNull { name ->
            val dependency = registry[name] ?: return@firstNotNullOfOrNull "$name is unknown"
            val state = snapshot.stateOf(name, record)
            when {
                state == GateState.FINALIZED -> null
                finalized -> "$name is not finalized"
                state != GateState.ENABLED -> "$name is not enabled"
                !snapshot.isMigrated(dependency, record) -> "records of $name are still being migrated"
                else -> null
            }
        }

        /** A process that does not count may still write under the term of a shard that it owns. */
        private fun shardInOtherHands(): String? = snapshot.shards.withIndex().firstNotNullOfOrNull { (index, shard) ->
            shard?.takeIf { it.owner !in counted }?.let { "shard $index is owned by ${it.owner}, which does not count" }
        }

        private fun enabledNext(target: TargetRequest): Verdict = when (target.requested) {
            Target.DORMANT -> reverting(target)
            Target.FINALIZED -> finalizing(target)
            Target.ENABLED, null -> target.orStays()
        }

        private fun reverting(target: TargetRequest): Verdict {
            val refusal = Reversal.refusal(registry, feature, record)
            return if (refusal != null) Verdict.Waits(refusal) else moves(GateState.REVERTING, target.reason)
        }

        private fun finalizing(target: TargetRequest): Verdict {
            val reason = missing() ?: dependenciesMissing(finalized = true) ?: migrationMissing()
            return if (reason != null) {
                Verdict.Waits(reason)
            } else {
                moves(GateState.FINALIZED, target.reason, preconditions())
            }
        }

        private fun migrationMissing(): String? {
            if (snapshot.isMigrated(feature, record)) return null
            val blocked = snapshot.blockedRecords(feature, record)
            return if (blocked == 0L) "records are still being migrated" else "$blocked records cannot be migrated"
        }

        private fun revertingNext(target: TargetRequest): Verdict = when {
            target.wantsEnabled -> missing()?.let { Verdict.Waits(it) }
                ?: moves(GateState.ENABLED, target.reason, preconditions())
            else -> migrationMissing()?.let { Verdict.Waits(it) }
                ?: moves(GateState.DORMANT, "all records have the old form again")
        }

        /**
         * An operator's wish goes before the deploy files, which must agree: else the gate would move with each change
         * of the leader.
         */
        private fun target(): TargetRequest {
            record.targetOverrides[feature.name]?.let { wish ->
                return TargetRequest(wish.target, "wished by ${wish.provenance.by}: ${wish.provenance.reason}")
            }
            val desires = counted.associateWith { snapshot.present[it]?.versions?.desired?.get(feature.name) }
            val distinct = desires.values.toSet()
            return when {
                distinct.all { it == null } -> TargetRequest(null, "")
                distinct.size == 1 -> TargetRequest(distinct.first(), "wished by the deploy files")
                else -> {
                    val each = desires.entries.joinToString { "${it.key} ${it.value?.storedName ?: "nothing"}" }
                    TargetRequest(null, "", "the deploy files differ: $each")
                }
            }
        }
    }

    /** What is wished of a gate, and for what reason; [contradiction] if the wishes do not agree. */
    private class TargetRequest(val requested: Target?, val reason: String, val contradiction: String? = null) {
        val wantsEnabled get() = requested == Target.ENABLED || requested == Target.FINALIZED

        fun orStays(): Verdict = contradiction?.let { Verdict.Waits(it) } ?: Verdict.Stays
    }
}

/** Whether a feature can be taken back. */
object Reversal {
    /** Why [feature] cannot be taken back as the record stands; null if it can. */
    fun refusal(registry: FeatureRegistry, feature: Feature, record: RolloutRecord): String? {
        val state = record.stateOf(feature.name)
        val dependent = registry.dependentsOf(feature.name).firstOrNull { record.stateOf(it.name).isActive }
        return when {
            state == GateState.FINALIZED -> "${feature.name} is finalized"
            state.isActive && !feature.revertible -> "${feature.name} cannot be taken back once it is enabled"
            dependent != null -> "${dependent.name} depends on it and must be taken back first"
            else -> null
        }
    }
}
