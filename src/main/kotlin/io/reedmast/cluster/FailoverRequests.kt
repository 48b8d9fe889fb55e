package io.reedmast.cluster

import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ShardId

/**
 * The shards that their owners have asked the other controllers to acquire, because the workers cannot reach the owner
 * or the owner is being drained.
 */
internal class FailoverRequests(private val shards: ShardTable) {
    private class Request(val receivedAt: Long, val term: Long)

    private val requests = HashMap<ShardId, Request>()

    /** Records a request received at [now]. A delayed copy contains a term that has ended, and is ignored. */
    fun record(message: PeerMessage.FailoverRequest, now: Long) {
        val shard = message.shard
        if (shards.records.getOrNull(shard.value)?.version != message.term) return
        if (requests[shard]?.term != message.term) requests[shard] = Request(now, message.term)
    }

    /** When the first request of the present owner of [shard] in its present term was received; null if none was. */
    fun requestedAt(shard: ShardId): Long? =
        requests[shard]?.takeIf { it.term == shards.records[shard.value]?.version }?.receivedAt
}
