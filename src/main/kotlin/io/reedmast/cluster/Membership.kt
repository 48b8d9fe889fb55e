package io.reedmast.cluster

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.Write
import io.reedmast.ports.Clock
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.LeaseState
import io.reedmast.ports.ProcessControl
import io.reedmast.settings.Settings
import io.reedmast.wire.Fields
import io.reedmast.wire.text
import org.slf4j.LoggerFactory

/**
 * Which controllers live and which of them leads, by keys that are attached to their leases; and this controller's own
 * lease.
 *
 * Nobody's safety rests on it: it only chooses good moments for taking shards, and who rents machines.
 */
class Membership(
    private val settings: Settings,
    private val clock: Clock,
    private val store: KeyValueStore,
    private val process: ProcessControl,
    /** What this controller publishes of itself. */
    private val memberFields: () -> Fields,
    /** The condition that this process has heard of every move of the gates. */
    private val gatesPrecondition: () -> Precondition,
) {
    private val log = LoggerFactory.getLogger("cluster")
    private val present = HashSet<String>()
    private val absentSince = HashMap<String, Long>()
    private var lease: Long? = null
    private var leaseAsked = false
    private var leaseDue = 0L
    private var claimingLeader = false
    private var claimingMemberKey = false
    private var memberKeyLease: Long? = null
    private var published: Fields? = null

    /** The label of the leader, if there is one. */
    var leader: String? = null
        private set

    /** Stamp of the leader's key, a condition of what it writes. */
    var leaderVersion = 0L
        private set

    val leading: Boolean get() = leader == settings.label

    /** The controllers whose keys are there. */
    val presentCount: Int get() = present.size

    fun isPresent(label: String): Boolean = label in present

    /** The controllers that live, this one included. */
    fun alive(): Set<String> = present + settings.label

    /** For how long the controller's key has been gone. */
    fun absentForMs(label: String, now: Long): Long = now - (absentSince[label] ?: now)

    /** The revision up to which the watch has told of every change. */
    private var observedRevision = 0L

    /**
     * All keys have been read anew, and follow; they are at least as new as [revision].
     *
     * The version of the leader's key is forgotten with its value: a leader who had not changed in the gap was
     * otherwise not seen again, and nobody led by this controller's account for as long as he stayed.
     */
    fun reset(revision: Long) {
        present.clear()
        leader = null
        leaderVersion = 0L
        recordObserved(revision)
    }

    /** The watch has told of all changes up to [revision]. */
    fun recordObserved(revision: Long) {
        observedRevision = maxOf(observedRevision, revision)
    }

    /** All keys have been read: those of controllers that are not among [paths] are gone. */
    fun recordAbsent(paths: Set<String>) {
        settings.members.filter {
            Keys.member(it.label) !in paths
        }.forEach { absentSince.putIfAbsent(it.label, clock.now()) }
    }

    /** Takes up the value under [path], if it is one of these keys; a null [value] is a deletion. */
    fun applyRecord(path: String, value: Fields?, version: Long) {
        when {
            path == Keys.LEADER -> applyLeader(value?.text("label"), version)
            path.startsWith(Keys.MEMBERS) -> applyMemberKey(path.removePrefix(Keys.MEMBERS), value != null)
        }
    }

    private fun applyLeader(label: String?, version: Long) {
        if (version <= leaderVersion) return
        leader = label
        leaderVersion = version
        if (label != null) log.info("leader: {}", label)
        shareLimits()
    }

    private fun applyMemberKey(label: String, here: Boolean) {
        if (here) {
            present.add(label)
            absentSince.remove(label)
        } else {
            present.remove(label)
            absentSince[label] = clock.now()
            if (label == settings.label) memberKeyLease = null
        }
        shareLimits()
    }

    /** Tells the clients of the store and the cloud how many controllers share their limits. */
    fun shareLimits() = process.shareLimits(maxOf(1, alive().size), leading)

    /** Renews this controller's lease, or gets a new one. */
    fun keepLease() {
        val now = clock.now()
        if (leaseAsked || now < leaseDue) return
        leaseAsked = true
        leaseDue = now + LEASE_MS / 4
        store.extendLease(lease, LEASE_MS) { state ->
            leaseAsked = false
            when (state) {
                is LeaseState.Held -> {
                    if (state.isNew) memberKeyLease = null
                    lease = state.lease
                }

                LeaseState.Lost -> {
                    lease = null
                    memberKeyLease = null
                    leaseDue = 0
                }

                LeaseState.Unknown -> {}
            }
        }
    }

    /** Puts this controller's key under its lease, and the leader's if there is none and this controller [mayLead]. */
    fun claimKeys(mayLead: Boolean) {
        claimMemberKey()
        if (leader == null && mayLead) claimLeader()
        if (leading && !mayLead) resign()
    }

    private var resigning = false

    /** Another controller leads as soon as the key is gone. */
    private fun resign() {
        if (resigning) return
        resigning = true
        log.info("leader: {} resigns", settings.label)
        store.commit(
            CasTransaction(listOf(Precondition(Keys.LEADER, leaderVersion)), listOf(Write.Delete(Keys.LEADER))) {
                resigning =
                    false
            },
        )
    }

    private fun claimMemberKey() {
        val held = lease ?: return
        val fields = memberFields()
        if (claimingMemberKey || (memberKeyLease == held && published == fields)) return
        claimingMemberKey = true
        store.get(Keys.member(settings.label)) { fetched ->
            when (fetched) {
                is ReadResult.Found -> putMemberKey(held, fields, fetched.item.version)
                is ReadResult.Missing -> putMemberKey(held, fields, 0L)
                is ReadResult.Failed -> claimingMemberKey = false
            }
        }
    }

    private fun putMemberKey(held: Long, fields: Fields, version: Long) {
        val path = Keys.member(settings.label)
        store.commit(
            CasTransaction(
                listOf(Precondition(path, version), gatesPrecondition()),
                listOf(Write.Put(path, fields, held)),
            ) { outcome ->
                claimingMemberKey = false
                when (outcome) {
                    is CommitOutcome.Applied -> {
                        memberKeyLease = held
                        published = fields
                    }

                    is CommitOutcome.Conflict -> {}

                    is CommitOutcome.Refused -> if (lease == held) lease = null
                }
            },
        )
    }

    private fun claimLeader() {
        val held = lease ?: return
        if (claimingLeader || memberKeyLease != held) return
        claimingLeader = true
        store.commit(
            CasTransaction(
                listOf(Precondition(Keys.LEADER, 0), gatesPrecondition()),
                listOf(Write.Put(Keys.LEADER, mapOf("label" to settings.label), held)),
            ) { outcome ->
                claimingLeader = false
                // The watch tells the same: whichever is first counts. What it has told of may be over by now.
                if (outcome is CommitOutcome.Applied &&
                    outcome.revision > observedRevision
                ) {
                    applyLeader(settings.label, outcome.revision)
                }
                if (outcome is CommitOutcome.Refused && lease == held) lease = null
            },
        )
    }

    companion object {
        /** How long a controller counts as alive after it was last heard by the store. */
        const val LEASE_MS = 4_000L
    }
}
