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
 * The two forms of the token counter.
 *
 * Versions before the rollout record take a shard without looking at any gate. They find no `token` in the fenced form,
 * so their condition on the counter's version never holds, and they come by no term under which they could write.
 */
object TokenCounter : RecordMigration {
    private const val OPEN = "token"
    private const val FENCED = "fencedToken"
    override val scope = MigrationScope.CLUSTER

    override fun prefix(shard: Int): String = Keys.TOKEN

    override fun forward(record: Fields): Fields = if (FENCED in record) record else mapOf(FENCED to record.count(OPEN))

    override fun back(record: Fields): Fields = if (FENCED in
        record
    ) {
        mapOf(OPEN to record.count(FENCED))
    } else {
        record.also { it.count(OPEN) }
    }

    /** The counter's value in either form. */
    fun tokenOf(record: Fields): Long = record.count(if (FENCED in record) FENCED else OPEN)

    /**
     * Moves the counter from its version [seen] to [token], in the form that [gates] want and on condition that they
     * have not moved.
     */
    fun moveTo(token: Long, seen: Long, gates: GateSnapshot): CounterUpdate {
        val field = if (gates.writes(ClusterFeatures.FENCED_TOKENS)) FENCED else OPEN
        return CounterUpdate(
            listOf(Precondition(Keys.TOKEN, seen), gates.precondition),
            Write.Put(Keys.TOKEN, mapOf(field to token)),
        )
    }
}

/** A write of the token counter, and the conditions without which it must not be made. */
class CounterUpdate(val preconditions: List<Precondition>, val write: Write.Put)
