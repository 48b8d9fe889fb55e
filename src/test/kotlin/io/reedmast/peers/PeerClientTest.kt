package io.reedmast.peers

import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ControllerId
import okio.buffer
import okio.source
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket

/** Messages to a controller whose old connection leads nowhere. */
class PeerClientTest {
    /**
     * Preconditions against confirmations that are written to the connection of a process that has lost its power: on a
     * day of 1.5 times the machines a controller was down for 90 s, and in the outage after it all leases ended, since
     * no query reached it.
     */
    @Test
    fun `a query does not depend on the connection that news were sent on`() {
        ServerSocket(0, 10, InetAddress.getLoopbackAddress()).use { server ->
            val client = PeerClient(InetSocketAddress(server.inetAddress, server.localPort))
            assertTrue(client.send(PeerMessage.ShardStatusUpdate(emptyList(), emptyList())))
            // Nobody reads from it any more.
            server.accept().use {
                val query = PeerMessage.ControllerStatusQuery(ControllerId(1), "n1-1", 1)
                assertTrue(client.send(query))
                server.soTimeout = 2_000
                server.accept().use { second -> assertEquals(query, PeerCodec.read(second.source().buffer())) }
            }
        }
    }
}
