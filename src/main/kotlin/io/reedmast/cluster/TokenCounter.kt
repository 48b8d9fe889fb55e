package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.rollout.GateSnapshot
import io.reedmast.rollout.MigrationScope
import io.reedmast.rollout.RecordMigration
import io.reedmast.wire.Fields
import io.reedmast.wire.count

/**
 * The two stored forms of the token counter, from which each acquisition of a shard gets its fencing token (PROTOCOL,
 * Tokens).
 *
 * Versions before the rollout record acquire a shard without looking at any gate. They find no `token` in the fenced
 * form, so their condition on the counter's version never holds, and they come by no term under which they could write.
 */
object TokenCounter : RecordMigration {
    private const val OPEN_FIELD = "token"
    private const val FENCED_FIELD = "fencedToken"
    override val scope = MigrationScope.CLUSTER

    override fun prefix(shard: Int): String = Keys.TOKEN_COUNTER

    override fun forward(record: Fields): Fields =
        if (isFenced(record)) record else mapOf(FENCED_FIELD to record.count(OPEN_FIELD))

    /** Checks a record that is in the open form already: a malformed one must not count as migrated. */
    override fun back(record: Fields): Fields =
        if (isFenced(record)) mapOf(OPEN_FIELD to record.count(FENCED_FIELD)) else record.also { it.count(OPEN_FIELD) }

    /** The counter's value in either form. */
    fun tokenOf(record: Fields): Long = record.count(if (isFenced(record)) FENCED_FIELD else OPEN_FIELD)

    /**
     * Moves the counter from its [version] to [token], in the form that [gates] want and on condition that they have
     * not moved.
     */
    internal fun moveTo(token: Long, version: Long, gates: GateSnapshot): TokenCounterUpdate {
        val field = if (gates.writes(ClusterFeatures.FENCED_TOKENS)) FENCED_FIELD else OPEN_FIELD
        return TokenCounterUpdate(
            listOf(Precondition(Keys.TOKEN_COUNTER, version), gates.precondition),
            Write.Put(Keys.TOKEN_COUNTER, mapOf(field to token)),
        )
    }

    private fun isFenced(record: Fields) = FENCED_FIELD in record
}

/** A write of the token counter, and the conditions without which it must not be made. */
internal class TokenCounterUpdate(val preconditions: List<Precondition>, val write: Write.Put)
