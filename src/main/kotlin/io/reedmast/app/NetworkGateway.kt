package io.reedmast.app

import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoreClient
import io.reedmast.ports.Cloud
import io.reedmast.ports.Gateway
import io.reedmast.ports.KeyValueStore
import io.reedmast.ports.PeerTransport
import io.reedmast.ports.WorkerTransport
import io.reedmast.settings.Settings

/**
 * What a process needs to reach the store.
 *
 * @property incarnation names this process in the ids of its transactions; never used by another one
 */
class StoreAccess(val client: StoreClient, val limits: EffectiveLimits, val incarnation: String)

/**
 * All ports over the network, joined from one adapter a port.
 *
 * Each adapter owns its pools of daemon threads, which start with the first call and end when idle; results come back
 * to the event loop. Nothing is closed before the process ends.
 */
class NetworkGateway private constructor(
    private val client: StoreClient,
    private val onEnd: (reason: String) -> Unit,
    private val store: StoreGateway,
    private val cloud: CloudGateway,
    private val workers: WorkerGateway,
    peers: PeerGateway,
) : Gateway,
    KeyValueStore by store,
    Cloud by cloud,
    WorkerTransport by workers,
    PeerTransport by peers {

    /** Starts the threads that commit to the store. */
    fun start() = store.start()

    override fun shareLimits(aliveControllers: Int, leading: Boolean) {
        client.shareLimits(aliveControllers)
        cloud.shareLimit(aliveControllers, leading)
    }

    override fun expectMachines(count: Int) = workers.expectMachines(count)

    override fun terminate(reason: String) = onEnd(reason)

    companion object {
        /**
         * Builds the adapters for the controller that [settings] describe; results go to [eventLoop], and [onEnd] ends
         * the process.
         */
        fun create(
            settings: Settings,
            eventLoop: EventLoop,
            storeAccess: StoreAccess,
            onEnd: (reason: String) -> Unit,
        ): NetworkGateway {
            val calls = AsyncCalls(eventLoop)
            return NetworkGateway(
                storeAccess.client,
                onEnd,
                StoreGateway(storeAccess, calls, eventLoop, settings.members.size),
                CloudGateway(settings, calls),
                WorkerGateway(settings.maxConnections, calls),
                PeerGateway(settings, calls),
            )
        }
    }
}
