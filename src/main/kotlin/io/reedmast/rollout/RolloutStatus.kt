package io.reedmast.rollout

/** The cluster's state as shown to operators; [waitReasons] state why gates keep their state despite another target. */
class RolloutStatus(val view: RolloutView, val snapshot: ClusterSnapshot, val waitReasons: Map<FeatureName, String>)

/** Whether the process that currently runs as [label] has been ordered to release its shards. */
fun RolloutStatus.isDraining(label: String): Boolean {
    val incarnation = snapshot.present[label]?.versions?.incarnation ?: return false
    return view.drainOrderOf(label)?.order?.incarnation == incarnation
}
