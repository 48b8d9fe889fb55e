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
 * Versions that predate the rollout record acquire shards without checking any gate. In the fenced form they find no
 * `token` field, so that their precondition on the counter's version never holds and they cannot obtain a term under
 * which to write.
 */
object TokenCounter : RecordMigration {
    private const val OPEN_FIELD = "token"
    private const val FENCED_FIELD = "fencedToken"
    override val scope = MigrationScope.CLUSTER

    override fun prefix(shard: Int): String = Keys.TOKEN_COUNTER

    override fun forward(record: Fields): Fields =
        if (isFenced(record)) record else mapOf(FENCED_FIELD to record.count(OPEN_FIELD))

    /** Also validates a record that is already in the open form, so that a malformed one does not count as migrated. */
    override fun backward(record: Fields): Fields =
        if (isFenced(record)) mapOf(OPEN_FIELD to record.count(FENCED_FIELD)) else record.also { it.count(OPEN_FIELD) }

    /** The counter's value in either form. */
    fun tokenOf(record: Fields): Long = record.count(if (isFenced(record)) FENCED_FIELD else OPEN_FIELD)

    /**
     * The update of the counter at [version] to [token], in the form that [gates] require and on condition that the
     * gates have not changed.
     */
    internal fun updateTo(token: Long, version: Long, gates: GateSnapshot): TokenCounterUpdate {
        val field = if (gates.writesNewFormat(ClusterFeatures.FENCED_TOKENS)) FENCED_FIELD else OPEN_FIELD
        return TokenCounterUpdate(
            listOf(Precondition(Keys.TOKEN_COUNTER, version), gates.precondition),
            Write.Put(Keys.TOKEN_COUNTER, mapOf(field to token)),
        )
    }

    private fun isFenced(record: Fields) = FENCED_FIELD in record
}

/** A write of the token counter, and the preconditions that its transaction must have. */
internal class TokenCounterUpdate(val preconditions: List<Precondition>, val write: Write.Put)
