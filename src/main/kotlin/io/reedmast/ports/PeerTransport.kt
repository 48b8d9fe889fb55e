package io.reedmast.ports

import io.reedmast.settings.ControllerId

/** Messages to the other controllers; no rule depends on the arrival of any. */
interface PeerTransport {
    /** Sends [message] to every other controller; it may be lost without notice. */
    fun broadcast(message: PeerMessage)

    /** Sends [message] to one other controller; it may be lost without notice. */
    fun send(peer: ControllerId, message: PeerMessage)
}
