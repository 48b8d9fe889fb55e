package io.reedmast.cluster

import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.Write
import io.reedmast.model.FencingToken
import io.reedmast.rollout.GateSnapshot
import io.reedmast.settings.ShardId

/**
 * Gives a shard's owner a token above [aboveToken], in the same transaction that assigns machines to the shard: workers
 * ignore answers with a token lower than the highest one they have seen (PROTOCOL, Tokens).
 */
internal class TokenRenewal(
    private val shard: ShardId,
    owner: StoredShardRecord,
    aboveToken: Long,
    tokenVersion: Long,
    gates: GateSnapshot,
) {
    private val renewed = owner.record.copy(token = FencingToken.firstOfNextRange(aboveToken))
    private val counter = TokenCounter.updateTo(renewed.token, tokenVersion, gates)

    /** The conditions that the token counter and the gates have not changed. */
    val counterPreconditions: List<Precondition> get() = counter.preconditions

    /** The condition that the shard's record has not changed. */
    val recordPrecondition = Precondition(Keys.shard(shard.value), owner.version)

    val writes: List<Write> = listOf(Write.Put(Keys.shard(shard.value), renewed.toFields()), counter.write)

    /** Applies this renewal, which was stored with [revision], to [shards]. */
    fun applyTo(shards: ShardTable, revision: Long) {
        shards.applyShard(shard, renewed, revision)
        shards.applyToken(renewed.token, revision)
    }
}
