package io.reedmast.rollout

/** Whether a controller may be stopped now. */
sealed interface Readiness {
    data object Ready : Readiness

    /** It must not be stopped, for each of [reasons]. */
    data class NotReady(val reasons: List<String>) : Readiness

    companion object {
        /**
         * A controller may be stopped once it has released its shards, which it does only after all its decisions have
         * been stored, and the others own all shards.
         */
        fun of(label: String, status: RolloutStatus): Readiness {
            val snapshot = status.snapshot
            val others = snapshot.participants(status.view.gates.record) - label
            val reasons = ArrayList<String>()
            if (label !in snapshot.configured) reasons.add("there is no controller $label")
            others.filter { it !in snapshot.present }.forEach { reasons.add("$it is silent") }
            others.filter { status.isDraining(it) }.forEach { reasons.add("$it is being drained") }
            snapshot.shards.forEachIndexed { index, shard ->
                when (shard?.owner) {
                    null -> reasons.add("shard $index has no owner")
                    label -> reasons.add("$label owns shard $index; drain it first")
                    !in snapshot.present -> reasons.add("shard $index is owned by ${shard.owner}, which is silent")
                }
            }
            if (label in snapshot.present && snapshot.present[label]?.versions?.drained != true) {
                reasons.add(notDrainedReason(label, status))
            }
            return if (reasons.isEmpty()) Readiness.Ready else Readiness.NotReady(reasons)
        }

        /** A controller that is not being drained may acquire shards at any moment, even if it owns none now. */
        private fun notDrainedReason(label: String, status: RolloutStatus): String = if (status.isDraining(label)) {
            "$label has not said that it is drained"
        } else {
            "$label is not being drained; drain it first"
        }
    }
}
