package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.ports.KeyValueStore
import org.slf4j.LoggerFactory

/**
 * Which controller leads: the one that has stored the leader's key, which is attached to its lease.
 *
 * The key's version is the leader's term, a precondition of everything that it writes as the leader.
 */
internal class LeaderElection(
    private val label: String,
    private val store: KeyValueStore,
    private val lease: ControllerLease,
    private val membershipKey: MembershipKey,
    /** The condition that this process has heard of every move of the gates. */
    private val gatesPrecondition: () -> Precondition,
    private val onLeaderChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private var claiming = false
    private var resigning = false

    /** The revision up to which the watch has shown every change. */
    private var observedRevision = 0L

    /** The label of the leader, if there is one. */
    var leader: String? = null
        private set

    /** The version of the leader's key, a precondition of what the leader writes. */
    var leaderVersion = 0L
        private set

    /** Whether this controller leads. */
    val isLeading: Boolean get() = leader == label

    /**
     * The term in which this controller leads, once the watch has shown all that earlier leaders stored; null if it
     * does not lead, or not yet knows. The store's answer to its claim may come before the watch has caught up: what
     * the leader before it stored last is then not known here.
     */
    val observedTerm: Long? get() = leaderVersion.takeIf { isLeading && observedRevision >= it }

    /**
     * All keys have been read anew, and follow; they are at least as new as [revision].
     *
     * The version of the leader's key is forgotten with its value: a leader who had not changed in the gap was
     * otherwise not seen again, and nobody led by this controller's account for as long as he stayed.
     */
    fun reset(revision: Long) {
        leader = null
        leaderVersion = 0L
        recordObserved(revision)
    }

    /** The watch has shown all changes up to [revision]. */
    fun recordObserved(revision: Long) {
        observedRevision = maxOf(observedRevision, revision)
    }

    /** Applies the leader's key, unless a newer [version] is known; a null [newLeader] is its deletion. */
    fun applyLeader(newLeader: String?, version: Long) {
        if (version <= leaderVersion) return
        leader = newLeader
        leaderVersion = version
        if (newLeader != null) log.info("leader: {}", newLeader)
        onLeaderChange()
    }

    /** Makes this controller the leader if there is none, provided that it [mayLead]; otherwise it resigns. */
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
                // The watch shows the same: whichever is first counts. What it has shown may be over by now.
                if (outcome is CommitOutcome.Applied && outcome.revision > observedRevision) {
                    applyLeader(label, outcome.revision)
                }
                if (outcome is CommitOutcome.Refused) lease.discard(leaseId)
            },
        )
    }

    /** Another controller leads as soon as the key is gone. */
    private fun resign() {
        if (resigning) return
        resigning = true
        log.info("leader: {} resigns", label)
        val unchanged = Precondition(Keys.LEADER, leaderVersion)
        store.commit(CasTransaction(listOf(unchanged), listOf(Write.Delete(Keys.LEADER))) { resigning = false })
    }
}
