package io.reedmast.ports

import io.reedmast.settings.ControllerId

/** Messages to the other controllers; no rule depends on the arrival of any. */
interface PeerTransport {
    /** Sends [message] to every other controller. */
    fun broadcast(message: PeerMessage)

    /** Sends [message] to one other controller. */
    fun send(peer: ControllerId, message: PeerMessage)
}
