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
 * The composition root: one controller's parts, joined and started.
 *
 * The thread `event-loop` decides, and whichever thread brings it work while it is idle; `peers` accepts the
 * connections of other controllers, `watch-cluster` and `watch-jobs` follow the store, `commit-N` write to it. All
 * other threads belong to the pools of the HTTP server, the peer server and the gateway. All of them end with the
 * process, and nothing is closed before.
 */
internal class ControllerProcess(private val options: ControllerOptions) {
    private val log = LoggerFactory.getLogger("main")
    private val settings = options.settings
    private val eventLoop = EventLoop(SystemClock, MAX_QUEUED)
    private val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)
    private val storeClient =
        StoreClient(settings.storeAddress, limits, settings.members.size, HttpCaller(STORE_CONNECT_MS, STORE_READ_MS))
    private val incarnation = incarnationOf(settings.label)
    private val gateway =
        NetworkGateway.create(settings, eventLoop, StoreAccess(storeClient, limits, incarnation), ::endUnfit)
    private val controller =
        Controller(settings, options.tuning, SystemClock, gateway, limits, incarnation, options.rollout)
    private val timings = Timings(SystemClock)
    private val handle = ControllerHandle(eventLoop, controller, timings)

    /** Runs until the process is killed or its rehearsal is over; throws [StartupException] if a port is not free. */
    fun run() {
        listen()
        gateway.start()
        Watches(storeClient, SystemClock, handle).start()
        log.info("controller {}: listens on {}", settings.label, settings.apiAddress)
        val eventLoopThread = startThread("event-loop") {
            eventLoop.run(RUN_INTERVAL_MS, IDLE_RUN_INTERVAL_MS, handle::runOnce)
        }
        if (options.exitAfterS == null) {
            eventLoopThread.join()
            return
        }
        Thread.sleep((options.exitAfterS * MS_PER_S).toLong())
        // The HTTP server's own thread would keep the process alive.
        exitProcess(0)
    }

    private fun listen() {
        try {
            HttpApi(settings, handle, timings).start()
            val connections = WorkPool("peer-in", settings.members.size * 2, settings.members.size)
            val peers = PeerServer(settings.clusterAddress, connections, handle::onPeerMessage)
            val listening = peers.open()
            startThread("peers") { peers.run(listening) }
        } catch (e: IOException) {
            throw StartupException(
                "cannot listen on front ${settings.apiAddress} or " +
                    "cluster_listen ${settings.clusterAddress}: ${e.message}",
                e,
            )
        }
    }

    /** The process stops at once: whatever it still has in hand, it could not do rightly. */
    private fun endUnfit(reason: String) {
        System.err.println("reedmast: $reason")
        exitProcess(ExitCodes.INCOMPATIBLE)
    }

    private companion object {
        const val MAX_QUEUED = 256
        const val RUN_INTERVAL_MS = 40L
        const val IDLE_RUN_INTERVAL_MS = 200L
        const val STORE_CONNECT_MS = 800
        const val STORE_READ_MS = 2_500
        const val MS_PER_S = 1000
        const val RADIX = 36

        /** Time of day and process start tell two processes of a controller apart. */
        fun incarnationOf(label: String): String {
            val startedAt = java.lang.Long.toString(SystemClock.wallTime(), RADIX)
            val steadyTime = java.lang.Long.toString(System.nanoTime(), RADIX)
            return "$label-$startedAt-$steadyTime"
        }
    }
}
