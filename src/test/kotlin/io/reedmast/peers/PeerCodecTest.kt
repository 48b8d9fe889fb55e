package io.reedmast.peers

import io.reedmast.ports.Cancellation
import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId
import io.reedmast.settings.ShardId
import okio.Buffer
import okio.IOException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

/** Messages between controllers are unchanged after encoding and decoding, and malformed frames are rejected. */
class PeerCodecTest {
    private fun recoded(message: PeerMessage): PeerMessage {
        val buffer = Buffer()
        PeerCodec.write(buffer, message)
        return PeerCodec.read(buffer).also { assertEquals(0L, buffer.size) }
    }

    @Test
    fun `messages of every type are unchanged after encoding and decoding`() {
        val query = PeerMessage.ControllerStatusQuery(ControllerId(2), "n2-abc-1", 7)
        val full = (0 until PeerMessage.MAX_CANCELLATIONS).map {
            Cancellation("wk-%018d".format(it), Long.MAX_VALUE - it)
        }
        val reports = listOf(full, emptyList(), null).map {
            PeerMessage.ControllerStatusReport(ControllerId(0), "n2-abc-1", 7, 123_456, 0, it)
        }
        val others = listOf(query, PeerMessage.FailoverRequest(ShardId(1), Long.MAX_VALUE))
        for (message in reports + reports[1].copy(
            storeViewAgeMs = null,
        ) + others) {
            assertEquals(message, recoded(message))
        }
    }

    @Test
    fun `malformed frames are rejected`() {
        val frames = listOf(
            Buffer().writeInt(0),
            Buffer().writeInt(70_000),
            Buffer().writeInt(1).writeByte(9),
            Buffer().writeInt(3).writeByte(3).writeShort(1),
            Buffer().writeInt(2).writeByte(1).writeByte(5),
            Buffer().writeInt(100).writeByte(2),
        )
        for (frame in frames) assertThrows(IOException::class.java) { PeerCodec.read(frame) }
    }
}
