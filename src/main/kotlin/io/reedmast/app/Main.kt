package io.reedmast.app

import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.parse
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.double
import io.reedmast.cluster.ClusterFeatures
import io.reedmast.deploy.RolloutFile
import io.reedmast.deploy.RolloutFileException
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoreClient
import io.reedmast.peers.PeerServer
import io.reedmast.ports.Clock
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.SettingsException
import io.reedmast.settings.Tuning
import io.reedmast.wire.HttpCaller
import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.file.Path
import kotlin.system.exitProcess

/** Flags or settings that cannot be used. */
private const val EXIT_USAGE = 2

/** The cluster has been rolled out to something that this version cannot read. */
private const val EXIT_UNFIT = 3

private object SystemClock : Clock {
    override fun now(): Long = System.nanoTime() / 1_000_000

    override fun wall(): Long = System.currentTimeMillis()
}

/** The `reedmast` command: one controller, which runs until it is killed. */
class Reedmast : CoreCliktCommand("reedmast") {
    private val config by option(help = "Settings file (JSON) of this controller", metavar = "FILE").required()
    private val window by seconds("window", Tuning().windowS, "Sliding window over which charged use is counted")
    private val protectCap by seconds("protect-cap", Tuning().protectCapS, "Longest protected minimum run time")
    private val resize by seconds("resize", Tuning().resizeS, "How often shards are resized")
    private val totals by seconds("totals", Tuning().totalsS, "How often team totals are written")
    private val idle by option(
        "--idle-s",
        envvar = "REEDMAST_IDLE_S",
        help = "How long an empty ordinary machine is kept, in seconds (default: worked out from boot and fetch times)",
        metavar = "SECONDS",
    ).double().check("must be above 0") { it > 0 && it.isFinite() }
    private val rollout by option(
        "--rollout",
        envvar = "REEDMAST_ROLLOUT",
        help = "File (JSON) of the features that the cluster is to have (default: none is changed)",
        metavar = "FILE",
    )
    private val rehearse by option(
        help = "Stop after this time: the build records the classes that start-up loads",
        metavar = "SECONDS",
    ).double()

    private fun seconds(name: String, value: Double, help: String) = option(
        "--$name-s",
        envvar = "REEDMAST_${name.uppercase().replace('-', '_')}_S",
        help = "$help, in seconds (default $value)",
        metavar = "SECONDS",
    )
        .double()
        .default(value)
        .check("must be above 0") { it > 0 && it.isFinite() }

    init {
        versionOption(
            Reedmast::class.java.`package`?.implementationVersion ?: "development",
            names = setOf("--version"),
        )
    }

    /** Without a subcommand it runs a controller. */
    override val invokeWithoutSubcommand = true

    override fun help(context: Context): String = "Runs one controller of a reedmast cluster. " +
        "LOG_LEVEL (error, info, debug) says how much is logged to standard error."

    override fun run() {
        val settings =
            try {
                Settings.load(Path.of(config)).let { if (rehearse == null) it else onAnyPorts(it) }
            } catch (e: SettingsException) {
                unusable(e.message)
            }
        if (currentContext.invokedSubcommand != null) {
            currentContext.obj = settings
            return
        }
        runController(settings, rolloutOptions())
    }

    private fun unusable(message: String?): Nothing {
        System.err.println("reedmast: $message")
        throw ProgramResult(EXIT_USAGE)
    }

    private fun rolloutOptions(): RolloutOptions {
        val file = rollout ?: return RolloutOptions(ClusterFeatures.registry)
        return try {
            RolloutFile.load(Path.of(file), ClusterFeatures.registry)
        } catch (e: RolloutFileException) {
            unusable(e.message)
        }
    }

    private fun runController(settings: Settings, rolloutOptions: RolloutOptions) {
        val log = LoggerFactory.getLogger("main")
        val eventLoop = EventLoop(SystemClock, MAX_QUEUED)
        val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)
        val client =
            StoreClient(
                settings.storeAddress,
                limits,
                settings.members.size,
                HttpCaller(STORE_CONNECT_MS, STORE_READ_MS),
            )
        // Time of day and process start tell two processes of a controller apart.
        val incarnation = "${settings.label}-${java.lang.Long.toString(
            SystemClock.wall(),
            36,
        )}-${java.lang.Long.toString(System.nanoTime(), 36)}"
        val gateway = NetworkGateway.create(settings, eventLoop, client, limits, incarnation, ::endUnfit)
        val controller =
            Controller(
                settings,
                Tuning(window, protectCap, resize, totals, idle),
                SystemClock,
                gateway,
                limits,
                incarnation,
                rolloutOptions,
            )
        val timings = Timings(SystemClock)
        val handle = ControllerHandle(eventLoop, controller, timings)
        try {
            HttpApi(settings, handle, timings).start()
            val peers =
                PeerServer(
                    settings.clusterListen,
                    WorkPool("peer-in", settings.members.size * 2, settings.members.size),
                    handle::onPeerMessage,
                )
            val listening = peers.open()
            startThread("peers") { peers.run(listening) }
        } catch (e: IOException) {
            unusable(
                "cannot listen on front ${settings.front} or cluster_listen ${settings.clusterListen}: ${e.message}",
            )
        }
        gateway.start()
        Watches(client, SystemClock, handle).start()
        log.info("controller {}: listens on {}", settings.label, settings.front)
        val deciding = startThread("event-loop") {
            eventLoop.run(RUN_INTERVAL_MS, IDLE_RUN_INTERVAL_MS, handle::runOnce)
        }
        val limit = rehearse
        if (limit == null) {
            deciding.join()
        } else {
            Thread.sleep((limit * 1000).toLong())
            // The HTTP server's own thread would keep the process alive.
            exitProcess(0)
        }
    }

    /** The process stops at once: whatever it still has in hand, it could not do rightly. */
    private fun endUnfit(reason: String) {
        System.err.println("reedmast: $reason")
        exitProcess(EXIT_UNFIT)
    }

    /** A rehearsal serves nobody: on ports of its own it would fail, and the build with it, beside another build. */
    private fun onAnyPorts(settings: Settings) = settings.copy(
        front = InetSocketAddress(settings.front.address, 0),
        clusterListen = InetSocketAddress(settings.clusterListen.address, 0),
    )

    private companion object {
        const val MAX_QUEUED = 256
        const val RUN_INTERVAL_MS = 40L
        const val IDLE_RUN_INTERVAL_MS = 200L
        const val STORE_CONNECT_MS = 800
        const val STORE_READ_MS = 2_500
    }
}

private fun configureLogging() {
    val asked = System.getenv("LOG_LEVEL")
    val level = asked?.lowercase()?.takeIf { it in setOf("error", "warn", "info", "debug") }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level ?: "info")
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
    System.setProperty("org.slf4j.simpleLogger.showDateTime", "true")
    System.setProperty("org.slf4j.simpleLogger.dateTimeFormat", "HH:mm:ss.SSS")
    if (asked != null &&
        level == null
    ) {
        LoggerFactory.getLogger("main").warn("LOG_LEVEL {} is unknown; info is used", asked)
    }
}

fun main(args: Array<String>) {
    configureLogging()
    val command = Reedmast().subcommands(RolloutCommand())
    try {
        command.parse(args)
    } catch (e: CliktError) {
        val text = command.getFormattedHelp(e)
        // The core of Clikt neither exits nor tells its two streams apart by itself.
        if (text != null) if (e.printError) System.err.println(text) else println(text)
        exitProcess(if (e is UsageError) EXIT_USAGE else e.statusCode)
    }
}
