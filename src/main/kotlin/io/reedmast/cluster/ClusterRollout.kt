package io.reedmast.cluster

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.ProcessControl
import io.reedmast.rollout.Admission
import io.reedmast.rollout.ClusterSnapshot
import io.reedmast.rollout.GateSnapshot
import io.reedmast.rollout.MemberVersions
import io.reedmast.rollout.MigrationReconciler
import io.reedmast.rollout.MigrationUnit
import io.reedmast.rollout.RecordAccess
import io.reedmast.rollout.RolloutCoordinator
import io.reedmast.rollout.RolloutOptions
import io.reedmast.rollout.RolloutView
import io.reedmast.rollout.ShardOwnership
import io.reedmast.settings.Settings
import io.reedmast.shard.ShardRollout
import io.reedmast.wire.Fields

/**
 * This controller's part in the rollout of features: the rollout state that it has read, what it publishes about itself
 * and, while it is the leader, the moves of gates and the migration of the cluster's records.
 */
class ClusterRollout(
    private val settings: Settings,
    private val clock: Clock,
    private val store: KeyValueStore,
    private val process: ProcessControl,
    private val limits: EffectiveLimits,
    private val options: RolloutOptions,
    private val incarnation: String,
    private val shards: ShardTable,
    /** Rereads one of the cluster's keys from the store. */
    private val reread: (String) -> Unit,
) : ShardRollout {
    private val rolloutStore = RolloutStoreAdapter(store)
    private val formatGate = FormatGate(settings, store, limits)
    private val configuredMembers = settings.members.mapTo(HashSet()) { it.label }
    private var isEnding = false

    override val view = RolloutView(options.registry, settings.label)
    private val coordinator = RolloutCoordinator(
        options.registry,
        settings.label,
        clock::wallTime,
        rolloutStore,
        view,
        limits.target.maxPreconditions,
        ::refreshGates,
    )
    private val clusterMigrationReconciler = reconciler(MigrationUnit.Cluster, UncontendedRecords)

    override val gates: GateSnapshot get() = view.gates

    override val isAdmitted: Boolean get() = view.admission == Admission.Admitted

    /**
     * Whether this process may acknowledge heartbeats of workers. It may do so even while the rollout record cannot be
     * read, so that running tasks go on, but not if it is excluded or its versions are incompatible.
     */
    val mayAcknowledgeHeartbeats: Boolean
        get() = when (view.admission) {
            Admission.Admitted, is Admission.RecordUnreadable -> true
            Admission.Excluded, is Admission.Incompatible -> false
        }

    /** Whether an operator has ordered this process to release its shards. */
    val isDraining: Boolean get() = view.drainOrderOf(settings.label)?.order?.incarnation == incarnation

    /**
     * The labels of the controllers whose current processes have been ordered to release their shards; they acquire
     * none.
     */
    fun draining(): Set<String> = view.members.filter { (label, member) ->
        val drained = view.drainOrderOf(label)?.order?.incarnation
        drained != null && drained == member.versions.incarnation
    }.keys

    override fun reconciler(unit: MigrationUnit, access: RecordAccess) =
        MigrationReconciler(unit, options.registry, rolloutStore, access, options.pace, clock::now) {
            limits.allowed.valueBytes
        }

    /** Discards what has been read of the rollout, before all keys are applied again from a new snapshot. */
    fun reset() = view.reset()

    /** Applies the value under [path], if that is one of the rollout's keys. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        formatGate.applyRecord(path, value)
        view.applyRecord(path, value, version)
    }

    override fun refreshGates() = reread(Keys.ROLLOUT)

    /** The fields of this controller's membership key, which is attached to its lease. */
    fun memberFields(ownsNothing: Boolean): Fields = mapOf("label" to settings.label) + FormatGate.fields() +
        MemberVersions(
            options.registry.range,
            options.desired,
            incarnation,
            drained = isDraining && ownsNothing,
        ).toFields()

    /**
     * Called periodically once the cluster's keys have been read: ends this process if its versions do not fit, or asks
     * for it to be included again if it was excluded.
     */
    fun checkAdmission() {
        when (val admission = view.admission) {
            Admission.Admitted, is Admission.RecordUnreadable -> Unit
            Admission.Excluded -> coordinator.rejoin()
            is Admission.Incompatible -> end(admission.reason)
        }
    }

    private fun end(reason: String) {
        if (isEnding) return
        isEnding = true
        process.terminate(reason)
    }

    /**
     * Called periodically while the store answers and this process is admitted; [leaderVersion] is the version of the
     * leader key, or null unless this controller leads.
     */
    fun runOnce(leaderVersion: Long?) {
        formatGate.runOnce()
        if (leaderVersion == null) return
        coordinator.runOnce(leaderVersion, snapshot())
        clusterMigrationReconciler.runOnce(gates, Precondition(Keys.LEADER, leaderVersion), view)
    }

    private fun snapshot(): ClusterSnapshot = view.snapshot(
        configuredMembers,
        shards.records.map { stored -> stored?.let { ShardOwnership(it.record.owner, it.version) } },
        formatGate.finalized,
    )

    /**
     * The cluster's records need no exclusive access during a migration: no copy of them is kept that it could make
     * stale, since every writer rereads a record after a conflict.
     */
    private object UncontendedRecords : RecordAccess {
        override fun tryAcquire(path: String): Boolean = true

        override fun release(path: String, version: Long?) = Unit
    }
}
