package io.reedmast.cluster

import io.reedmast.model.RecordConflict
import io.reedmast.settings.ShardId

/**
 * The shards whose records name each machine: one, unless something went wrong.
 *
 * A machine that the records of several shards name is *contested*. No controller of this version stores that; an
 * earlier one may have.
 */
internal class RecordedShards {
    private val shardsByMachine = HashMap<String, List<ShardId>>()
    private val contestedNames = LinkedHashSet<String>()

    /** How many machines the records name. */
    val machineCount: Int get() = shardsByMachine.size

    /** The names of the machines that the records of several shards name. */
    val contested: Set<String> get() = contestedNames

    /** The shards whose records name the machine, in the order of their numbers. */
    fun of(machineName: String): List<ShardId> = shardsByMachine[machineName].orEmpty()

    /**
     * Whether other shards than [shard] name the machine too. The owner of the one with the lowest number answers its
     * worker: the stored records alone decide, so that all controllers agree.
     */
    fun conflictOf(machineName: String, shard: ShardId): RecordConflict {
        val shards = of(machineName)
        return when {
            shards.size < 2 -> RecordConflict.NONE
            shards.first() == shard -> RecordConflict.ANSWERED_HERE
            else -> RecordConflict.ANSWERED_ELSEWHERE
        }
    }

    /** A record of [shard] names the machine. */
    fun add(machineName: String, shard: ShardId) {
        val shards = of(machineName)
        if (shard !in shards) put(machineName, (shards + shard).sortedBy { it.value })
    }

    /** No record of [shard] names the machine any more. */
    fun remove(machineName: String, shard: ShardId) = put(machineName, of(machineName) - shard)

    private fun put(machineName: String, shards: List<ShardId>) {
        if (shards.isEmpty()) shardsByMachine.remove(machineName) else shardsByMachine[machineName] = shards
        if (shards.size > 1) contestedNames.add(machineName) else contestedNames.remove(machineName)
    }
}
