package io.reedmast.ports

import io.reedmast.settings.ControllerId

/** Sends messages to the other controllers; correctness does not depend on the arrival of any message. */
interface PeerTransport {
    /** Sends [message] to every other controller; it may be lost without notice. */
    fun broadcast(message: PeerMessage)

    /** Sends [message] to one other controller; it may be lost without notice. */
    fun send(peer: ControllerId, message: PeerMessage)
}
