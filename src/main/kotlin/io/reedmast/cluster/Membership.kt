package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.ProcessControl
import io.reedmast.settings.Settings
import io.reedmast.wire.Fields
import io.reedmast.wire.text

/**
 * Records which controllers are alive and which of them leads, according to keys that are attached to their leases, and
 * maintains this controller's own lease.
 *
 * No safety property depends on this information: it only serves to choose good moments for acquiring shards, and to
 * choose the controller that rents machines.
 */
internal class Membership(
    private val settings: Settings,
    private val clock: Clock,
    store: KeyValueStore,
    private val process: ProcessControl,
    /** The fields of this controller's membership key. */
    memberFields: () -> Fields,
    /** The precondition that no gate has moved without this process having read it. */
    gatesPrecondition: () -> Precondition,
) {
    private val label = settings.label
    private val lease: ControllerLease = ControllerLease(clock, store) { ownKey.onDetached() }
    private val ownKey: MembershipKey = MembershipKey(label, store, lease, memberFields, gatesPrecondition)
    private val election = LeaderElection(label, store, lease, ownKey, gatesPrecondition, ::shareLimits)
    private val present = HashSet<String>()
    private val absentSince = HashMap<String, Long>()

    /** The label of the leader; null if there is none. */
    val leader: String? get() = election.leader

    /** The version of the leader key, a precondition of what the leader writes. */
    val leaderVersion: Long get() = election.leaderVersion

    /** See [LeaderElection.observedTerm]. */
    val leaderTerm: Long? get() = election.observedTerm

    /** Whether this controller leads. */
    val leading: Boolean get() = election.isLeading

    /** The number of controllers whose membership keys exist. */
    val presentCount: Int get() = present.size

    /** Whether the controller's membership key exists. */
    fun isPresent(label: String): Boolean = label in present

    /** The labels of the controllers that are alive, this one included. */
    fun alive(): Set<String> = present + label

    /** For how many milliseconds the controller's membership key has been absent; 0 if it exists. */
    fun absentForMs(label: String, now: Long): Long = now - (absentSince[label] ?: now)

    /**
     * Forgets members and leader before all keys are applied again from a new snapshot, at least as new as [revision].
     */
    fun reset(revision: Long) {
        present.clear()
        election.reset(revision)
    }

    /** Records that the watch has delivered all changes up to [revision]. */
    fun recordObserved(revision: Long) = election.recordObserved(revision)

    /** Records the controllers whose membership keys are not among [paths], the keys of a whole snapshot, as absent. */
    fun recordAbsent(paths: Set<String>) {
        settings.members.map { it.label }.filter { Keys.member(it) !in paths }
            .forEach { absentSince.putIfAbsent(it, clock.now()) }
    }

    /** Applies the value under [path], if that is the leader key or a membership key; a null [value] is a deletion. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        when {
            path == Keys.LEADER -> election.applyLeader(value?.text("label"), version)
            path.startsWith(Keys.MEMBERS) -> applyMemberKey(path.removePrefix(Keys.MEMBERS), value != null)
        }
    }

    private fun applyMemberKey(member: String, exists: Boolean) {
        if (exists) {
            present.add(member)
            absentSince.remove(member)
        } else {
            present.remove(member)
            absentSince[member] = clock.now()
            if (member == label) ownKey.onDetached()
        }
        shareLimits()
    }

    /** Sets the share of the rate limits that this controller's clients of the store and the cloud may use. */
    fun shareLimits() = process.shareLimits(maxOf(1, alive().size), leading)

    /** Renews this controller's lease, or requests a new one if there is none, when that is due. */
    fun keepLease() = lease.renewIfDue()

    /**
     * Stores this controller's membership key under its lease. Stores the leader key too if there is no leader and
     * [mayLead] is true; resigns if this controller leads and [mayLead] is false.
     */
    fun claimKeys(mayLead: Boolean) {
        ownKey.publish()
        election.runOnce(mayLead)
    }
}
