package io.reedmast.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.parameters.options.check
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.clikt.parameters.types.double
import io.reedmast.cluster.ClusterFeatures
import io.reedmast.deploy.RolloutFile
import io.reedmast.deploy.RolloutFileException
import io.reedmast.rollout.RolloutOptions
import io.reedmast.settings.Settings
import io.reedmast.settings.SettingsException
import io.reedmast.settings.Tuning
import java.net.InetSocketAddress
import java.nio.file.Path

/**
 * The `reedmast` command: runs one controller until it is killed. [runController] runs the controller and throws
 * [StartupException] if the controller cannot start.
 */
class Reedmast(private val runController: (ControllerOptions) -> Unit) : CoreCliktCommand("reedmast") {
    private val config by option(help = "Settings file (JSON) of this controller", metavar = "FILE").required()
    private val window by seconds("window", Tuning().usageWindowS, "Sliding window over which charged use is counted")
    private val protectCap by seconds(
        "protect-cap",
        Tuning().maxProtectedRunTimeS,
        "Longest protected minimum run time",
    )
    private val resize by seconds("resize", Tuning().resizeIntervalS, "How often shards are resized")
    private val totals by seconds("totals", Tuning().usageSummaryIntervalS, "How often team totals are written")
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

    /** Without a subcommand, the command runs a controller. */
    override val invokeWithoutSubcommand = true

    override fun help(context: Context): String = "Runs one controller of a reedmast cluster. " +
        "LOG_LEVEL (error, info, debug) says how much is logged to standard error."

    override fun run() {
        val settings =
            try {
                Settings.load(Path.of(config)).let { if (rehearse == null) it else withEphemeralPorts(it) }
            } catch (e: SettingsException) {
                exitWithUsageError(e.message)
            }
        if (currentContext.invokedSubcommand != null) {
            currentContext.obj = settings
            return
        }
        val options = ControllerOptions(
            settings,
            Tuning(window, protectCap, resize, totals, idle),
            rolloutOptions(),
            rehearse,
        )
        try {
            runController(options)
        } catch (e: StartupException) {
            exitWithUsageError(e.message)
        }
    }

    private fun exitWithUsageError(message: String?): Nothing {
        System.err.println("reedmast: $message")
        throw ProgramResult(ExitCodes.USAGE)
    }

    private fun rolloutOptions(): RolloutOptions {
        val file = rollout ?: return RolloutOptions(ClusterFeatures.registry)
        return try {
            RolloutFile.load(Path.of(file), ClusterFeatures.registry)
        } catch (e: RolloutFileException) {
            exitWithUsageError(e.message)
        }
    }

    /**
     * Replaces the configured ports by free ones. A rehearsal serves no clients; on fixed ports it would fail, and with
     * it the build, while another build runs on the same host.
     */
    private fun withEphemeralPorts(settings: Settings) = settings.copy(
        apiAddress = InetSocketAddress(settings.apiAddress.address, 0),
        clusterAddress = InetSocketAddress(settings.clusterAddress.address, 0),
    )
}
