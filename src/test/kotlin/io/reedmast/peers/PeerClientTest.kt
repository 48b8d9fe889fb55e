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

/** Messages to a controller that no longer reads from an older connection. */
class PeerClientTest {
    /**
     * Guards against status queries that are written to a connection of a process that has lost power: on a day with
     * 1.5 times the machines, a controller was down for 90 s, and in the outage that followed all leases expired, since
     * no query reached it.
     */
    @Test
    fun `a query is not sent on the connection of the status updates`() {
        ServerSocket(0, 10, InetAddress.getLoopbackAddress()).use { server ->
            val client = PeerClient(InetSocketAddress(server.inetAddress, server.localPort))
            assertTrue(client.send(PeerMessage.ShardStatusUpdate(emptyList(), emptyList())))
            // The connection of the status updates, from which nothing is read any more.
            server.accept().use {
                val query = PeerMessage.ControllerStatusQuery(ControllerId(1), "n1-1", 1)
                assertTrue(client.send(query))
                server.soTimeout = 2_000
                server.accept().use { second -> assertEquals(query, PeerCodec.read(second.source().buffer())) }
            }
        }
    }
}
