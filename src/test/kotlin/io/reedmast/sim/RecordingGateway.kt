package io.reedmast.sim

import io.reedmast.fleet.ProvisioningRequest
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.peers.PeerMessage
import io.reedmast.ports.Gateway
import io.reedmast.ports.LeaseState
import io.reedmast.ports.ProvisioningResult
import io.reedmast.settings.ControllerId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** Notes what a class asks of the world, and answers nothing: for tests of one class alone. */
class RecordingGateway : Gateway {
    val commits = ArrayList<CasTransaction>()
    val directCommands = ArrayList<WorkerCommand>()
    override val isStoreAvailable = true

    override fun commit(change: CasTransaction, refusable: Boolean): Boolean = commits.add(change)

    override fun writePermitLevel(): Double = 1.0

    override fun get(path: String, done: (ReadResult) -> Unit) = Unit

    override fun list(prefix: String, done: (List<StoredItem>?) -> Unit) = Unit

    override fun sendToPeers(message: PeerMessage) = Unit

    override fun sendToPeer(peer: ControllerId, message: PeerMessage) = Unit

    override fun direct(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        directCommands.addAll(commands)
    }

    override fun provision(rental: ProvisioningRequest, done: (ProvisioningResult) -> Unit) = Unit

    override fun returnMachines(machineNames: List<String>, done: (Boolean) -> Unit) = Unit

    override fun listMachines(done: (List<ListedMachine>?) -> Unit) = Unit

    override fun machineTypes(done: (List<MachineType>?) -> Unit) = Unit

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) = Unit

    override fun shareLimits(aliveControllers: Int, leading: Boolean) = Unit

    override fun endProcess(reason: String) = Unit

    override fun expectMachines(count: Int) = Unit
}
