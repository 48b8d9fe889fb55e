package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.ports.KeyValueStore
import org.slf4j.LoggerFactory

/**
 * Leader election: the leader is the controller that has stored the leader key, which is attached to its lease.
 *
 * The key's version is the leader's term, a precondition of everything that it writes as the leader.
 */
internal class LeaderElection(
    private val label: String,
    private val store: KeyValueStore,
    private val lease: ControllerLease,
    private val membershipKey: MembershipKey,
    /** The precondition that no gate has moved without this process having read it. */
    private val gatesPrecondition: () -> Precondition,
    private val onLeaderChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private var claiming = false
    private var resigning = false

    /** The store's revision up to which the watch has delivered every change. */
    private var observedRevision = 0L

    /** The label of the leader; null if there is none. */
    var leader: String? = null
        private set

    /** The version of the leader key, a precondition of what the leader writes. */
    var leaderVersion = 0L
        private set

    /** Whether this controller leads. */
    val isLeading: Boolean get() = leader == label

    /**
     * The term in which this controller leads, once the watch has delivered all that earlier leaders stored; null
     * before that, or if it does not lead. The store's answer to its claim may arrive before the watch has caught up:
     * the last writes of the previous leader are then still unknown here.
     */
    val observedTerm: Long? get() = leaderVersion.takeIf { isLeading && observedRevision >= it }

    /**
     * Forgets the leader before all keys are applied again from a new snapshot, which is at least as new as [revision].
     *
     * The version of the leader key is reset too: otherwise a leader key that did not change in the gap of the watch
     * would be ignored as already known, and this controller would see no leader until the leader changed.
     */
    fun reset(revision: Long) {
        leader = null
        leaderVersion = 0L
        recordObserved(revision)
    }

    /** Records that the watch has delivered all changes up to [revision]. */
    fun recordObserved(revision: Long) {
        observedRevision = maxOf(observedRevision, revision)
    }

    /** Applies the leader key, unless this or a newer [version] is known; a null [newLeader] is its deletion. */
    fun applyLeader(newLeader: String?, version: Long) {
        if (version <= leaderVersion) return
        leader = newLeader
        leaderVersion = version
        if (newLeader != null) log.info("leader: {}", newLeader)
        onLeaderChange()
    }

    /**
     * Claims leadership if there is no leader and [mayLead] is true; resigns if this controller leads and [mayLead] is
     * false.
     */
    fun runOnce(mayLead: Boolean) {
        if (leader == null && mayLead) claim()
        if (isLeading && !mayLead) resign()
    }

    private fun claim() {
        val leaseId = lease.id ?: return
        if (claiming || !membershipKey.isAttachedTo(leaseId)) return
        claiming = true
        val preconditions = listOf(Precondition(Keys.LEADER, 0), gatesPrecondition())
        val writes = listOf(Write.Put(Keys.LEADER, mapOf("label" to label), leaseId))
        store.commit(
            CasTransaction(preconditions, writes) { outcome ->
                claiming = false
                // The watch delivers the same change, and whichever arrives first is applied. If the watch is already
                // past it, this leadership may have ended since, and only what the watch delivered counts.
                if (outcome is CommitOutcome.Applied && outcome.revision > observedRevision) {
                    applyLeader(label, outcome.revision)
                }
                if (outcome is CommitOutcome.Refused) lease.discard(leaseId)
            },
        )
    }

    /** Deletes the leader key; another controller leads as soon as the key is gone. */
    private fun resign() {
        if (resigning) return
        resigning = true
        log.info("leader: {} resigns", label)
        val unchanged = Precondition(Keys.LEADER, leaderVersion)
        store.commit(CasTransaction(listOf(unchanged), listOf(Write.Delete(Keys.LEADER))) { resigning = false })
    }
}
