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
 * Which controllers live and which of them leads, by keys that are attached to their leases; and this controller's own
 * lease.
 *
 * No rule's safety rests on it: it only chooses good moments for acquiring shards, and who rents machines.
 */
internal class Membership(
    private val settings: Settings,
    private val clock: Clock,
    store: KeyValueStore,
    private val process: ProcessControl,
    /** What this controller publishes of itself. */
    memberFields: () -> Fields,
    /** The condition that this process has heard of every move of the gates. */
    gatesPrecondition: () -> Precondition,
) {
    private val label = settings.label
    private val lease: ControllerLease = ControllerLease(clock, store) { ownKey.onDetached() }
    private val ownKey: MembershipKey = MembershipKey(label, store, lease, memberFields, gatesPrecondition)
    private val election = LeaderElection(label, store, lease, ownKey, gatesPrecondition, ::shareLimits)
    private val present = HashSet<String>()
    private val absentSince = HashMap<String, Long>()

    /** The label of the leader, if there is one. */
    val leader: String? get() = election.leader

    /** The version of the leader's key, a precondition of what the leader writes. */
    val leaderVersion: Long get() = election.leaderVersion

    /** See [LeaderElection.observedTerm]. */
    val leaderTerm: Long? get() = election.observedTerm

    /** Whether this controller leads. */
    val leading: Boolean get() = election.isLeading

    /** How many controllers' keys are there. */
    val presentCount: Int get() = present.size

    /** Whether the controller's key is there. */
    fun isPresent(label: String): Boolean = label in present

    /** The labels of the controllers that live, this one included. */
    fun alive(): Set<String> = present + label

    /** For how many milliseconds the controller's key has been gone; 0 if it is there. */
    fun absentForMs(label: String, now: Long): Long = now - (absentSince[label] ?: now)

    /** All keys have been read anew, and follow; they are at least as new as [revision]. */
    fun reset(revision: Long) {
        present.clear()
        election.reset(revision)
    }

    /** The watch has shown all changes up to [revision]. */
    fun recordObserved(revision: Long) = election.recordObserved(revision)

    /** All keys have been read: those of controllers that are not among [paths] are gone. */
    fun recordAbsent(paths: Set<String>) {
        settings.members.map { it.label }.filter { Keys.member(it) !in paths }
            .forEach { absentSince.putIfAbsent(it, clock.now()) }
    }

    /** Applies the value under [path], if it is one of these keys; a null [value] is a deletion. */
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

    /** Gives this controller's clients of the store and the cloud their share of the limits. */
    fun shareLimits() = process.shareLimits(maxOf(1, alive().size), leading)

    /** Renews this controller's lease, or gets a new one, if that is due. */
    fun keepLease() = lease.renewIfDue()

    /** Puts this controller's key under its lease, and the leader's if there is none and this controller [mayLead]. */
    fun claimKeys(mayLead: Boolean) {
        ownKey.publish()
        election.runOnce(mayLead)
    }
}
