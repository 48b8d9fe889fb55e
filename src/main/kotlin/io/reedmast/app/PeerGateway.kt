package io.reedmast.app

import io.reedmast.peers.PeerClient
import io.reedmast.ports.PeerMessage
import io.reedmast.ports.PeerTransport
import io.reedmast.settings.ControllerId
import io.reedmast.settings.Member
import io.reedmast.settings.Settings

/** Sends messages to the other controllers over the network; a message that cannot be sent now is dropped. */
internal class PeerGateway(settings: Settings, private val calls: AsyncCalls) : PeerTransport {
    private val peers = settings.members.indices.map { ControllerId(it) }
        .filter { it != settings.controllerId }
        .associateWith { Peer(settings.members[it.value]) }

    /**
     * The client of one other controller, with its own thread, so that a hung controller delays no messages to others.
     */
    private class Peer(member: Member) {
        val client = PeerClient(member.address)
        val pool = WorkPool("peer-${member.label}", 1, MAX_QUEUED_MESSAGES)
    }

    override fun broadcast(message: PeerMessage) = peers.keys.forEach { send(it, message) }

    override fun send(peer: ControllerId, message: PeerMessage) {
        val receiver = peers[peer] ?: return
        calls.call(receiver.pool, { receiver.client.send(message) }, false, {})
    }

    private companion object {
        const val MAX_QUEUED_MESSAGES = 8
    }
}
