package io.reedmast.ports

import io.reedmast.fleet.ProvisioningRequest
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.peers.PeerMessage
import io.reedmast.settings.ControllerId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** What a rental request came to. */
sealed interface ProvisioningResult {
    data class Machines(val names: List<String>) : ProvisioningResult

    data object NoCapacity : ProvisioningResult

    /** Nothing is known, or nothing was done: the same request may be sent again. */
    data object Failed : ProvisioningResult
}

/**
 * All I/O that the decisions ask for. No call blocks: each answers later, on the deciding thread.
 *
 * The real one hands calls to threads; tests have one of their own.
 */
interface Gateway {
    /** False if refused because too much waits already; only a [refusable] change can be. */
    fun commit(change: CasTransaction, refusable: Boolean = false): Boolean

    /** False while the store is known not to take changes. */
    val isStoreAvailable: Boolean

    /** How many changes this controller's part of the store's limit allows now, as a part of a second's worth. */
    fun writePermitLevel(): Double

    fun get(path: String, done: (ReadResult) -> Unit)

    fun list(prefix: String, done: (List<StoredItem>?) -> Unit)

    /** Sends [message] to every other controller; no rule depends on its arrival. */
    fun sendToPeers(message: PeerMessage)

    /** Sends [message] to one other controller; no rule depends on its arrival. */
    fun sendToPeer(peer: ControllerId, message: PeerMessage)

    /** Sends commands to a worker directly. */
    fun direct(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit)

    fun provision(rental: ProvisioningRequest, done: (ProvisioningResult) -> Unit)

    /** Returns machines; true only if the cloud has confirmed that they are gone. */
    fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit)

    fun listMachines(done: (List<ListedMachine>?) -> Unit)

    fun machineTypes(done: (List<MachineType>?) -> Unit)

    fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit)

    /** How many controllers share the limits of store and cloud. */
    fun shareLimits(aliveControllers: Int, leading: Boolean)

    /** This process must not go on, for [reason]: it ends without touching anything more. */
    fun endProcess(reason: String)

    /** How many machines there are, each of which may have a connection to this controller. */
    fun expectMachines(count: Int)
}

/** A lease of this controller after an attempt to renew it, or to get a new one. */
sealed interface LeaseState {
    data class Held(val lease: Long, val isNew: Boolean) : LeaseState

    data object Lost : LeaseState

    data object Unknown : LeaseState
}
