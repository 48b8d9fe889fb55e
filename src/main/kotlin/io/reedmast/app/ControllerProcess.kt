package io.reedmast.app

import io.reedmast.cli.ControllerOptions
import io.reedmast.cli.ExitCodes
import io.reedmast.cli.StartupException
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoreClient
import io.reedmast.peers.PeerServer
import io.reedmast.wire.HttpCaller
import org.slf4j.LoggerFactory
import java.io.IOException
import kotlin.system.exitProcess

/**
 * The composition root: creates, connects and starts the components of one controller.
 *
 * Events are handled on the thread `event-loop`, or on the thread that brings an event while the event loop is idle.
 * `peers` accepts the connections of other controllers, `watch-cluster` and `watch-jobs` follow the store, `commit-N`
 * write to it. All other threads belong to the HTTP server and to the pools of the HTTP server, the peer server and the
 * gateway. All threads end with the process, and nothing is closed before.
 */
internal class ControllerProcess(private val options: ControllerOptions) {
    private val log = LoggerFactory.getLogger("main")
    private val settings = options.settings
    private val eventLoop = EventLoop(SystemClock, MAX_QUEUED_PER_PRIORITY)
    private val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)
    private val storeClient =
        StoreClient(settings.storeAddress, limits, settings.members.size, HttpCaller(STORE_CONNECT_MS, STORE_READ_MS))
    private val incarnation = incarnationOf(settings.label)
    private val gateway =
        NetworkGateway.create(settings, eventLoop, StoreAccess(storeClient, limits, incarnation), ::exitIncompatible)
    private val controller =
        Controller(settings, options.tuning, SystemClock, gateway, limits, incarnation, options.rollout)
    private val timings = Timings(SystemClock)
    private val controllerHandle = ControllerHandle(eventLoop, controller, timings)

    /** Runs until the process is killed or `exitAfterS` have passed; throws [StartupException] if a port is taken. */
    fun run() {
        listen()
        gateway.start()
        Watches(storeClient, SystemClock, controllerHandle).start()
        log.info("controller {}: listening on {}", settings.label, settings.apiAddress)
        val eventLoopThread = startThread("event-loop") {
            eventLoop.run(RUN_INTERVAL_MS, IDLE_RUN_INTERVAL_MS, controllerHandle::runOnce)
        }
        if (options.exitAfterS == null) {
            eventLoopThread.join()
            return
        }
        Thread.sleep((options.exitAfterS * MS_PER_S).toLong())
        // Returning would not end the process, because the HTTP server's own thread is not a daemon.
        exitProcess(0)
    }

    private fun listen() {
        try {
            HttpApi(settings, controllerHandle, timings).start()
            val connections = WorkPool("peer-in", settings.members.size * 2, settings.members.size)
            val peers = PeerServer(settings.clusterAddress, connections, controllerHandle::onPeerMessage)
            val listening = peers.open()
            startThread("peers") { peers.run(listening) }
        } catch (e: IOException) {
            throw StartupException(
                "cannot listen on front ${settings.apiAddress} or " +
                    "cluster_listen ${settings.clusterAddress}: " +
                    e.message,
                e,
            )
        }
    }

    /** Exits at once: this process could not complete any of its pending work correctly. */
    private fun exitIncompatible(reason: String) {
        System.err.println("reedmast: $reason")
        exitProcess(ExitCodes.INCOMPATIBLE)
    }

    private companion object {
        const val MAX_QUEUED_PER_PRIORITY = 256
        const val RUN_INTERVAL_MS = 40L
        const val IDLE_RUN_INTERVAL_MS = 200L
        const val STORE_CONNECT_MS = 800
        const val STORE_READ_MS = 2_500
        const val MS_PER_S = 1000
        const val RADIX = 36

        /** Wall-clock time and monotonic time at the start make it unique among the processes of a controller. */
        fun incarnationOf(label: String): String {
            val startedAt = java.lang.Long.toString(SystemClock.wallTime(), RADIX)
            val monotonicTime = java.lang.Long.toString(System.nanoTime(), RADIX)
            return "$label-$startedAt-$monotonicTime"
        }
    }
}
