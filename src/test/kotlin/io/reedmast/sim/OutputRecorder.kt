package io.reedmast.sim

import io.reedmast.peers.PeerCodec
import io.reedmast.ports.PeerMessage
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import okio.Buffer
import java.security.MessageDigest

/**
 * Computes a digest of all output of the controllers of a [World], in order and with simulated times: answers to users
 * and workers, commands, store transactions and reads, cloud calls and messages to peers. Log lines are not included.
 *
 * Everything is recorded in its encoded form, so that renaming classes and fields does not change the digest.
 */
class OutputRecorder(
    /** Receives one line for each message, to find where two runs diverge; null if that is not needed. */
    private val transcript: Appendable? = null,
) {
    private val digest = MessageDigest.getInstance("SHA-256")

    /** The number of recorded messages. */
    var count = 0
        private set

    /** The digest of everything recorded, in hexadecimal; nothing may be recorded after this call. */
    fun result(): String = digest.digest().take(DIGEST_BYTES).joinToString("") { "%02x".format(it) }

    fun record(atMs: Long, controller: String, kind: String, body: Fields) =
        record(atMs, controller, kind, BodyCodec.writeJson(body))

    fun record(atMs: Long, controller: String, message: PeerMessage) {
        val frames = Buffer().also { PeerCodec.write(it, message) }
        record(atMs, controller, "peer", frames.readByteArray())
    }

    private fun record(atMs: Long, controller: String, kind: String, body: ByteArray) {
        count++
        val header = "$atMs $controller $kind "
        digest.update(header.toByteArray())
        digest.update(body)
        digest.update(END_OF_MESSAGE)
        transcript?.append(header)?.append(String(body, Charsets.ISO_8859_1))?.append('\n')
    }

    private companion object {
        const val DIGEST_BYTES = 16
        const val END_OF_MESSAGE: Byte = 10
    }
}
