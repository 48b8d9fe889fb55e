package io.reedmast.sim

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.CloudListing
import io.reedmast.ports.Gateway
import io.reedmast.ports.LeaseState
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.ports.ReturnResult
import io.reedmast.settings.ControllerId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** Records transactions and direct commands and never calls back; for tests of a single class. */
class RecordingGateway : Gateway {
    val commits = ArrayList<CasTransaction>()
    val directCommands = ArrayList<WorkerCommand>()
    override val isAvailable = true

    override fun commit(transaction: CasTransaction, refusable: Boolean): Boolean = commits.add(transaction)

    override fun writePermitLevel(): Double = 1.0

    override fun get(path: String, done: (ReadResult) -> Unit) = Unit

    override fun list(prefix: String, done: (ListResult) -> Unit) = Unit

    override fun broadcast(message: PeerMessage) = Unit

    override fun send(peer: ControllerId, message: PeerMessage) = Unit

    override fun call(addr: String, token: Long, epoch: Long, commands: List<WorkerCommand>, done: (Reply) -> Unit) {
        directCommands.addAll(commands)
    }

    override fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit) = Unit

    override fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit) = Unit

    override fun listMachines(done: (CloudListing<ListedMachine>) -> Unit) = Unit

    override fun machineTypes(done: (CloudListing<MachineType>) -> Unit) = Unit

    override fun extendLease(lease: Long?, lifeMs: Long, done: (LeaseState) -> Unit) = Unit

    override fun shareLimits(aliveControllers: Int, leading: Boolean) = Unit

    override fun terminate(reason: String) = Unit

    override fun expectMachines(count: Int) = Unit
}
