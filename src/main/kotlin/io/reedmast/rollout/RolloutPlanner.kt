package io.reedmast.rollout

import io.reedmast.kvstore.Precondition

/**
 * The next state change of a gate.
 *
 * @property preconditions what must still hold when the transition is stored, besides the preconditions on the leader
 *   key and the rollout record
 */
class GateTransition(val feature: Feature, val to: GateState, val reason: String, val preconditions: List<Precondition>)

/**
 * What follows from a snapshot of the cluster: at most one transition, and the reasons why gates keep their state
 * although another one is requested.
 */
class RolloutPlan(val transition: GateTransition?, val waitReasons: Map<FeatureName, String>)

/**
 * Decides which gate changes its state next. Pure: the leader stores the transition under its term, on condition that
 * what it has read still holds.
 */
class RolloutPlanner(private val registry: FeatureRegistry) {
    /** What happens to one gate: a transition, waiting for a reason, or nothing. */
    private sealed interface Verdict {
        class Transition(val transition: GateTransition) : Verdict

        class Wait(val reason: String) : Verdict

        data object NoChange : Verdict
    }

    /** The transition of the first gate, in dependency order, that can change, and why the gates before it wait. */
    fun plan(record: RolloutRecord, snapshot: ClusterSnapshot): RolloutPlan {
        val waitReasons = LinkedHashMap<FeatureName, String>()
        // Features are reverted in the opposite order, as Reversal refuses to revert one that an active one depends on.
        for (feature in registry.inOrder) {
            if (feature.name in snapshot.externallyFinalized) continue
            when (val verdict = FeatureEvaluation(feature, record, snapshot).verdict()) {
                is Verdict.Transition -> return RolloutPlan(verdict.transition, waitReasons)
                is Verdict.Wait -> waitReasons[feature.name] = verdict.reason
                Verdict.NoChange -> Unit
            }
        }
        return RolloutPlan(null, waitReasons)
    }

    /** Evaluates one feature in one snapshot. */
    private inner class FeatureEvaluation(
        private val feature: Feature,
        private val record: RolloutRecord,
        private val snapshot: ClusterSnapshot,
    ) {
        private val participants = snapshot.participants(record)
        private val incompatibleLabel = participants.firstOrNull { label ->
            snapshot.present[label]?.let { feature.requires !in it.versions.range } ?: false
        }
        private val absentLabel = participants.firstOrNull { it !in snapshot.present }

        fun verdict(): Verdict {
            val target = effectiveTarget()
            return when (record.stateOf(feature.name)) {
                GateState.DORMANT -> if (target.wantsEnabled) fromDormant() else target.waitOrNoChange()
                GateState.READY -> fromReady(target)
                GateState.ENABLED -> fromEnabled(target)
                GateState.REVERTING -> fromReverting(target)
                GateState.FINALIZED -> if (target.requested == Target.DORMANT) {
                    Verdict.Wait("it is finalized and stays")
                } else {
                    Verdict.NoChange
                }
            }
        }

        private fun transitionTo(to: GateState, reason: String, preconditions: List<Precondition> = emptyList()) =
            Verdict.Transition(GateTransition(feature, to, reason, preconditions))

        private fun fromDormant(): Verdict = versionWaitReason()?.let { Verdict.Wait(it) }
            ?: transitionTo(GateState.READY, "every controller reads version ${feature.requires}", preconditions())

        private fun preconditions() = snapshot.preconditions(record)

        private fun versionWaitReason(): String? = when {
            incompatibleLabel != null -> {
                val range = snapshot.present[incompatibleLabel]?.versions?.range
                "$incompatibleLabel has versions $range, ${feature.requires} is required"
            }
            absentLabel != null -> "$absentLabel is silent"
            else -> null
        }

        private fun fromReady(target: EffectiveTarget): Verdict = when {
            incompatibleLabel != null -> transitionTo(GateState.DORMANT, versionWaitReason().orEmpty())
            !target.wantsEnabled -> target.waitOrNoChange()
            else -> (versionWaitReason() ?: dependencyWaitReason(finalized = false) ?: shardOwnerWaitReason())?.let {
                Verdict.Wait(it)
            }
                ?: transitionTo(GateState.ENABLED, target.reason, preconditions())
        }

        private fun dependencyWaitReason(finalized: Boolean): String? = feature.dependsOn.firstNotNullOfOrNull { name ->
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

        /** A process that does not participate may still write under the term of a shard that it owns. */
        private fun shardOwnerWaitReason(): String? =
            snapshot.shards.withIndex().firstNotNullOfOrNull { (index, shard) ->
                shard
                    ?.takeIf { it.owner !in participants }
                    ?.let { "shard $index is owned by ${it.owner}, which does not count" }
            }

        private fun fromEnabled(target: EffectiveTarget): Verdict = when (target.requested) {
            Target.DORMANT -> revert(target)
            Target.FINALIZED -> finalize(target)
            Target.ENABLED, null -> target.waitOrNoChange()
        }

        private fun revert(target: EffectiveTarget): Verdict {
            val refusal = Reversal.refusal(registry, feature, record)
            return if (refusal != null) Verdict.Wait(refusal) else transitionTo(GateState.REVERTING, target.reason)
        }

        private fun finalize(target: EffectiveTarget): Verdict {
            val reason = versionWaitReason() ?: dependencyWaitReason(finalized = true) ?: migrationWaitReason()
            return if (reason != null) {
                Verdict.Wait(reason)
            } else {
                transitionTo(GateState.FINALIZED, target.reason, preconditions())
            }
        }

        private fun migrationWaitReason(): String? {
            if (snapshot.isMigrated(feature, record)) return null
            val blocked = snapshot.blockedRecords(feature, record)
            return if (blocked == 0L) "records are still being migrated" else "$blocked records cannot be migrated"
        }

        private fun fromReverting(target: EffectiveTarget): Verdict = when {
            target.wantsEnabled -> versionWaitReason()?.let { Verdict.Wait(it) }
                ?: transitionTo(GateState.ENABLED, target.reason, preconditions())
            else -> migrationWaitReason()?.let { Verdict.Wait(it) }
                ?: transitionTo(GateState.DORMANT, "all records have the old form again")
        }

        /**
         * An operator's target takes precedence over the deploy files. The deploy files must agree, because otherwise
         * the gate would change with every change of the leader.
         */
        private fun effectiveTarget(): EffectiveTarget {
            record.targetOverrides[feature.name]?.let { targetOverride ->
                return EffectiveTarget(
                    targetOverride.target,
                    "wished by ${targetOverride.provenance.by}: ${targetOverride.provenance.reason}",
                )
            }
            val desiredTargets = participants.associateWith {
                snapshot.present[it]?.versions?.desired?.get(feature.name)
            }
            val distinctTargets = desiredTargets.values.toSet()
            return when {
                distinctTargets.all { it == null } -> EffectiveTarget(null, "")
                distinctTargets.size == 1 -> EffectiveTarget(distinctTargets.first(), "wished by the deploy files")
                else -> {
                    val each = desiredTargets.entries.joinToString { "${it.key} ${it.value?.storedName ?: "nothing"}" }
                    EffectiveTarget(null, "", "the deploy files differ: $each")
                }
            }
        }
    }

    /** The target requested for a gate, and the reason; [conflict] describes deploy files that do not agree. */
    private class EffectiveTarget(val requested: Target?, val reason: String, val conflict: String? = null) {
        val wantsEnabled get() = requested == Target.ENABLED || requested == Target.FINALIZED

        fun waitOrNoChange(): Verdict = conflict?.let { Verdict.Wait(it) } ?: Verdict.NoChange
    }
}

/** Decides whether a feature can be reverted. */
object Reversal {
    /** Why [feature] cannot be reverted in the present state of [record]; null if it can. */
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
