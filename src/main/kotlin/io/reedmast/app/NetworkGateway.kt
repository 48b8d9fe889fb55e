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
 * @property incarnation identifies this process in the ids of its transactions; never reused by another one.
 */
class StoreAccess(val client: StoreClient, val limits: EffectiveLimits, val incarnation: String)

/**
 * Implements all ports over the network, with one adapter for each.
 *
 * Each adapter owns its pools of daemon threads, which start with the first call and end when idle. Results are
 * delivered on the event loop. Nothing is closed before the process ends.
 */
class NetworkGateway private constructor(
    private val client: StoreClient,
    private val onTerminate: (reason: String) -> Unit,
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

    override fun terminate(reason: String) = onTerminate(reason)

    companion object {
        /**
         * Creates the adapters for the controller that [settings] describe. Results are delivered on [eventLoop];
         * [onTerminate] must terminate the process.
         */
        fun create(
            settings: Settings,
            eventLoop: EventLoop,
            storeAccess: StoreAccess,
            onTerminate: (reason: String) -> Unit,
        ): NetworkGateway {
            val calls = AsyncCalls(eventLoop)
            return NetworkGateway(
                storeAccess.client,
                onTerminate,
                StoreGateway(storeAccess, calls, eventLoop, settings.members.size),
                CloudGateway(settings, calls),
                WorkerGateway(settings.maxConnections, calls),
                PeerGateway(settings, calls),
            )
        }
    }
}
