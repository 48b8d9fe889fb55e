package io.reedmast.sim

import io.reedmast.cluster.ClusterFeatures
import io.reedmast.cluster.StoredClusterRecords
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.CommitReply
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.persistence.DensePages
import io.reedmast.rollout.AdministrationResult
import io.reedmast.rollout.Attribution
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.Readiness
import io.reedmast.rollout.RolloutAdministration
import io.reedmast.rollout.RolloutStatus
import io.reedmast.rollout.RolloutStore
import io.reedmast.rollout.StatusResult
import io.reedmast.rollout.Target
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** An operator of the [World], who uses the same [RolloutAdministration] as the command line. */
class SimOperator(private val world: World) {
    private var transactionCount = 0

    private val store = object : RolloutStore {
        override fun commit(change: CasTransaction) {
            val transaction = StoreTransaction("operator-${++transactionCount}", change.preconditions, change.writes)
            val outcome = when (
                val reply = if (world.store.up) {
                    world.store.commit(
                        transaction,
                    )
                } else {
                    CommitReply.NotExecuted
                }
            ) {
                is CommitReply.Applied -> CommitOutcome.Applied(reply.revision)
                is CommitReply.PreconditionFailed -> CommitOutcome.Conflict(reply.paths)
                else -> CommitOutcome.Refused("$reply")
            }
            change.done(outcome)
        }

        override fun get(path: String, done: (ReadResult) -> Unit) = done(
            world.store.get(path)?.let {
                ReadResult.Found(it)
            } ?: ReadResult.Missing,
        )

        override fun list(prefix: String, done: (ListResult) -> Unit) {
            val store = world.store
            done(if (store.up) ListResult.Listing(store.all(prefix), store.revision) else ListResult.Failed)
        }

        override fun writePermitLevel(): Double = 1.0
    }

    private fun administration(): RolloutAdministration {
        val configured = world.controllers.mapTo(HashSet()) { it.label }
        return RolloutAdministration(
            ClusterFeatures.registry,
            configured,
            StoredClusterRecords(world.controllers.size),
            world::wallTime,
            store,
        )
    }

    /**
     * Performs the action in [words]: `enable`, `finalize` or `revert` with a feature, or `exclude`, `include`,
     * `drain`, `undrain` or `ready` with a controller. It must succeed or, with `refused=WORD`, be refused for a reason
     * that contains the word (underscores stand for spaces); with `perhaps` its result is not checked. `by=NAME` names
     * the operator.
     */
    fun act(words: List<String>) {
        val expectedRefusal = words.firstOrNull { it.startsWith("refused=") }?.substringAfter('=')?.replace('_', ' ')
        val by = Attribution(words.firstOrNull { it.startsWith("by=") }?.substringAfter('=') ?: "operator", "a test")
        var result: AdministrationResult? = null
        val done = { of: AdministrationResult -> result = of }
        val administration = administration()
        when (words[0]) {
            "enable" -> administration.setTarget(FeatureName(words[1]), Target.ENABLED, by, done)
            "finalize" -> administration.setTarget(FeatureName(words[1]), Target.FINALIZED, by, done)
            "revert" -> administration.setTarget(FeatureName(words[1]), Target.DORMANT, by, done)
            "exclude" -> administration.exclude(words[1], by, done)
            "include" -> administration.include(words[1], by, done)
            "drain" -> administration.drain(words[1], by, done)
            "undrain" -> administration.endDrain(words[1], done)
            "ready" -> administration.readiness(words[1]) { done(asResult(it)) }
            else -> error("unknown operator action: ${words[0]}")
        }
        // In a randomly generated day the action may be impossible at that time.
        if ("any-result" in words) return
        val at = "at ${world.now() / 1000.0} s: operator ${words.joinToString(" ")}: $result"
        if (expectedRefusal ==
            null
        ) {
            assertEquals(AdministrationResult.Done, result, at)
        } else {
            assertTrue((result as? AdministrationResult.Refused)?.reason?.contains(expectedRefusal) ?: false, at)
        }
    }

    private fun asResult(readiness: Readiness): AdministrationResult = when (readiness) {
        Readiness.Ready -> AdministrationResult.Done
        is Readiness.NotReady -> AdministrationResult.Refused(readiness.reasons.joinToString("; "))
    }

    private fun status(): RolloutStatus {
        var status: RolloutStatus? = null
        administration().status { status = (it as? StatusResult.Known)?.status }
        return status ?: error("the rollout status could not be read")
    }

    fun gateState(feature: String): String = status().let {
        it.snapshot.stateOf(FeatureName(feature), it.view.gates.record).storedName
    }

    /** Whether all records of the feature have the form that its gate requires. */
    fun isMigrated(feature: String): Boolean = status().let { status ->
        ClusterFeatures.registry[FeatureName(feature)]?.let { status.snapshot.isMigrated(it, status.view.gates.record) }
            ?: false
    }

    fun waitReasons(): String = status().waitReasons.toString()

    /** The stored forms of all pages (`pages`) or of the token counter (`token`). */
    fun formsOf(what: String): Set<String> = when (what) {
        "pages" -> world.store.all("page/").mapTo(HashSet()) { if (DensePages.isDense(it.value)) "dense" else "plain" }
        "token" -> world.store.all(Keys.TOKEN_COUNTER).mapTo(HashSet()) {
            if ("fencedToken" in
                it.value
            ) {
                "fenced"
            } else {
                "open"
            }
        }
        else -> error("neither pages nor token: $what")
    }
}
