package io.reedmast.cluster

import io.reedmast.ports.PeerMessage
import io.reedmast.settings.ShardId

/** The shards that their owners have asked the other controllers to acquire, as workers do not reach those owners. */
internal class FailoverRequests(private val shards: ShardTable) {
    private class Request(val receivedAt: Long, val term: Long)

    private val requests = HashMap<ShardId, Request>()

    /** Records a request that came at [now]. A late copy names a term that is over, and is ignored. */
    fun record(message: PeerMessage.FailoverRequest, now: Long) {
        val shard = message.shard
        if (shards.records.getOrNull(shard.value)?.version != message.term) return
        if (requests[shard]?.term != message.term) requests[shard] = Request(now, message.term)
    }

    /** When the present owner of [shard] first asked for a failover in its present term; null if it has not. */
    fun requestedAt(shard: ShardId): Long? =
        requests[shard]?.takeIf { it.term == shards.records[shard.value]?.version }?.receivedAt
}
