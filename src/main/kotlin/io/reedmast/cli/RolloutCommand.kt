package io.reedmast.cli

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.reedmast.cluster.ClusterFeatures
import io.reedmast.cluster.StoredClusterRecords
import io.reedmast.rollout.AdministrationResult
import io.reedmast.rollout.Attribution
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.MigrationProgress
import io.reedmast.rollout.Readiness
import io.reedmast.rollout.RolloutAdministration
import io.reedmast.rollout.RolloutStatus
import io.reedmast.rollout.RolloutStore
import io.reedmast.rollout.StatusResult
import io.reedmast.rollout.Target
import io.reedmast.rollout.isDraining
import io.reedmast.settings.Settings
import java.time.Instant

/**
 * Opens the store for one command; the incarnation identifies the command in what it writes. Each call of the store
 * invokes its callback before it returns.
 */
typealias StoreOpener = (settings: Settings, incarnation: String) -> RolloutStore

/** `reedmast rollout`: the operators' queries and changes, executed through the store that [openStore] opens. */
class RolloutCommand(openStore: StoreOpener) : CoreCliktCommand("rollout") {
    init {
        subcommands(
            StatusCommand(openStore),
            TargetCommand(
                openStore,
                "enable",
                Target.ENABLED,
                "Enable a feature as soon as every controller understands it",
            ),
            TargetCommand(
                openStore,
                "finalize",
                Target.FINALIZED,
                "Finalize a feature once all records are migrated; it cannot be taken back then",
            ),
            TargetCommand(
                openStore,
                "revert",
                Target.DORMANT,
                "Take a feature back: migrated records get their old form again",
            ),
            ControllerCommand(openStore, "exclude", "Do not count a controller that is silent") { name, by, onResult ->
                exclude(name, by, onResult)
            },
            ControllerCommand(openStore, "include", "Count an excluded controller again") { name, by, onResult ->
                include(name, by, onResult)
            },
            ControllerCommand(openStore, "drain", "Have a controller give its shards up before it is stopped") {
                    name,
                    by,
                    onResult,
                ->
                drain(name, by, onResult)
            },
            ControllerCommand(openStore, "undrain", "Have a drained controller take shards again") {
                    name,
                    _,
                    onResult,
                ->
                endDrain(name, onResult)
            },
            ReadyCommand(openStore),
        )
    }

    override fun help(context: Context): String = "Shows and directs the rollout of features."

    override fun run() = Unit
}

/** Base class of the subcommands of `reedmast rollout`: opens the store and prints results. */
internal abstract class AdministrationCommand(
    private val openStore: StoreOpener,
    name: String,
    private val helpText: String,
) : CoreCliktCommand(name) {
    private val settings by requireObject<Settings>()

    override fun help(context: Context): String = helpText

    protected fun administration(): RolloutAdministration {
        val startedAt = java.lang.Long.toString(System.currentTimeMillis(), RADIX)
        val incarnation = "operator-$startedAt-${ProcessHandle.current().pid()}"
        val configured = settings.members.mapTo(HashSet()) { it.label }
        val records = StoredClusterRecords(settings.shardCount)
        return RolloutAdministration(
            ClusterFeatures.registry,
            configured,
            records,
            System::currentTimeMillis,
            openStore(settings, incarnation),
        )
    }

    protected fun refuse(reason: String): Nothing {
        System.err.println("reedmast: $reason")
        throw ProgramResult(ExitCodes.REFUSED)
    }

    protected fun report(result: AdministrationResult) = when (result) {
        AdministrationResult.Done -> println("done")
        is AdministrationResult.Refused -> refuse(result.reason)
    }

    private companion object {
        const val RADIX = 36
    }
}

private class StatusCommand(openStore: StoreOpener) :
    AdministrationCommand(openStore, "status", "Print gates, migrations and controllers") {
    override fun run() = administration().status { result ->
        when (result) {
            is StatusResult.Known -> lines(result.status).forEach(::println)
            is StatusResult.Unknown -> refuse("the store does not answer, or its records cannot be read")
        }
    }

    private fun lines(status: RolloutStatus): List<String> = gates(status) + controllers(status) + history(status)

    private fun gates(status: RolloutStatus): List<String> = ClusterFeatures.registry.inOrder.map { feature ->
        val record = status.view.gates.record
        val state = status.snapshot.stateOf(feature.name, record).storedName
        val progress = status.snapshot.unitsOf(feature).mapNotNull { unit ->
            status.view.progressOf(feature.name, unit)?.let { unit.key to it.progress }
        }
        val migration = progress.joinToString("") { (unit, stored) -> " [$unit: ${describe(stored)}]" }
        "feature ${feature.name}: $state$migration" + status.waitReasons[feature.name]?.let { "; waits: $it" }.orEmpty()
    }

    private fun describe(progress: MigrationProgress): String {
        val blocked = ", ${progress.unreadable} unreadable, ${progress.oversized} oversized"
            .takeIf { progress.unreadable + progress.oversized > 0L }
            .orEmpty()
        val complete = if (progress.complete) ", complete" else ""
        return "${progress.direction.storedName} ${progress.migrated}$blocked$complete"
    }

    private fun controllers(status: RolloutStatus): List<String> = status.snapshot.configured.sorted().map { label ->
        val versions = status.snapshot.present[label]?.versions
        val shards = status.snapshot.shards.withIndex().filter { it.value?.owner == label }.map { it.index }
        val excluded = status.view.gates.record.exclusions[label]
            ?.let { ", excluded by ${it.by}: ${it.reason}" }
            .orEmpty()
        val drain = if (status.isDraining(label)) ", draining" else ""
        val presence = versions?.let { "versions ${it.range}" } ?: "silent"
        "controller $label: $presence, shards $shards$drain$excluded"
    }

    private fun history(status: RolloutStatus): List<String> = status.view.gates.record.history.map {
        "${Instant.ofEpochMilli(it.provenance.atMs)} ${it.change} by ${it.provenance.by}: ${it.provenance.reason}"
    }
}

private class TargetCommand(openStore: StoreOpener, name: String, private val target: Target, helpText: String) :
    AdministrationCommand(openStore, name, helpText) {
    private val feature by argument("FEATURE")
    private val by by option("--by", help = "Who asks for it").required()
    private val reason by option("--why", help = "The reason, which is kept").required()

    override fun run() = administration().setTarget(FeatureName(feature), target, Attribution(by, reason), ::report)
}

private class ControllerCommand(
    openStore: StoreOpener,
    name: String,
    helpText: String,
    private val operation: RolloutAdministration.(String, Attribution, (AdministrationResult) -> Unit) -> Unit,
) : AdministrationCommand(openStore, name, helpText) {
    private val controller by argument("CONTROLLER")
    private val by by option("--by", help = "Who asks for it").default("operator")
    private val reason by option("--why", help = "The reason, which is kept").required()

    override fun run() = administration().operation(controller, Attribution(by, reason), ::report)
}

private class ReadyCommand(openStore: StoreOpener) :
    AdministrationCommand(
        openStore,
        "ready",
        "Say whether a controller may be stopped now: exit code 0, or 1 and the reasons",
    ) {
    private val controller by argument("CONTROLLER")

    override fun run() = administration().readiness(controller) { readiness ->
        when (readiness) {
            Readiness.Ready -> println("$controller may be stopped")
            is Readiness.NotReady -> refuse("$controller must not be stopped: ${readiness.reasons.joinToString("; ")}")
        }
    }
}
