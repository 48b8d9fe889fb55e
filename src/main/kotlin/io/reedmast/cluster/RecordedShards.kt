package io.reedmast.cluster

import io.reedmast.model.RecordConflict
import io.reedmast.settings.ShardId

/**
 * The shards whose records contain each machine: normally exactly one.
 *
 * A machine in the records of several shards is *contested*. Controllers of this version never store a machine in a
 * second shard; those of earlier versions may have.
 */
internal class RecordedShards {
    private val shardsByMachine = HashMap<String, List<ShardId>>()
    private val contestedNames = LinkedHashSet<String>()

    /** The number of machines that the records contain. */
    val machineCount: Int get() = shardsByMachine.size

    /** The names of the machines that are in the records of several shards. */
    val contested: Set<String> get() = contestedNames

    /** The shards whose records contain the machine, in the order of their numbers. */
    fun of(machineName: String): List<ShardId> = shardsByMachine[machineName].orEmpty()

    /**
     * Whether the records of other shards than [shard] contain the machine too, and who answers its worker then: the
     * owner of the shard with the lowest number. The stored records alone decide, so that all controllers agree.
     */
    fun conflictOf(machineName: String, shard: ShardId): RecordConflict {
        val shards = of(machineName)
        return when {
            shards.size < 2 -> RecordConflict.NONE
            shards.first() == shard -> RecordConflict.ANSWERED_HERE
            else -> RecordConflict.ANSWERED_ELSEWHERE
        }
    }

    /** Records that the machine is in a record of [shard]. */
    fun add(machineName: String, shard: ShardId) {
        val shards = of(machineName)
        if (shard !in shards) put(machineName, (shards + shard).sortedBy { it.value })
    }

    /** Records that the machine is in no record of [shard] any more. */
    fun remove(machineName: String, shard: ShardId) = put(machineName, of(machineName) - shard)

    private fun put(machineName: String, shards: List<ShardId>) {
        if (shards.isEmpty()) shardsByMachine.remove(machineName) else shardsByMachine[machineName] = shards
        if (shards.size > 1) contestedNames.add(machineName) else contestedNames.remove(machineName)
    }
}
