package io.reedmast.rollout

/** The cluster as an operator sees it; [waiting] says why gates stay as they are although somebody wishes otherwise. */
class RolloutStatus(val view: RolloutView, val snapshot: ClusterSnapshot, val waitReasons: Map<FeatureName, String>)

/** Whether the process that runs as [label] now is to give its shards up. */
fun RolloutStatus.isDraining(label: String): Boolean {
    val incarnation = snapshot.present[label]?.versions?.incarnation ?: return false
    return view.drainOrderOf(label)?.order?.incarnation == incarnation
}
