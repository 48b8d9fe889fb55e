package io.reedmast.autoscaling

import io.reedmast.model.MachineRecord
import io.reedmast.settings.ShardId

/** A fleet of three shards that records changes and answers them when the test says so. */
internal class FakeFleet(private val machinesByShard: Map<Int, List<MachineRecord>>) : FleetView {
    /** Marks for transfer, as machine to shard, in the order in which they were made. */
    val marks = ArrayList<Pair<String, Int>>()

    /** Machines added to shards, as machine to shard, in the order in which they were sent. */
    val additions = ArrayList<Pair<String, Int>>()

    /** The records of machines added to shards, in the order in which they were sent. */
    val addedRecords = ArrayList<MachineRecord>()

    /** Answers to additions that have not been given yet. */
    val pendingAnswers = ArrayList<(AddMachinesResult) -> Unit>()
    val departed = HashSet<String>()
    val recorded = HashMap<String, Int>()
    var observedThrough = Long.MAX_VALUE

    override var leading = true
    override var leaderTerm: Long? = 1L
    override val shardCount = 3
    override val hasUnownedShards = false

    override fun isCurrent() = true

    override fun hasObserved(time: Long) = observedThrough > time

    override fun shardOfMachine(machineName: String): ShardId? = recorded[machineName]?.let { ShardId(it) }

    override fun machinesOf(shard: ShardId) = machinesByShard[shard.value].orEmpty().asSequence()

    override fun machinesVersion(shard: ShardId) = 1L

    override fun departedRecently(machineName: String) = machineName in departed

    override fun recordDeparture(machineName: String) {
        departed.add(machineName)
    }

    override fun isMarkedForTransfer(shard: ShardId, machineName: String) = false

    override fun addMachines(
        shard: ShardId,
        records: List<MachineRecord>,
        highestTokenSeen: Long,
        onDone: (AddMachinesResult) -> Unit,
    ) {
        records.forEach { additions.add(it.name to shard.value) }
        addedRecords.addAll(records)
        pendingAnswers.add(onDone)
    }

    override fun markForTransfer(shard: ShardId, machineNames: Collection<String>, to: ShardId) {
        machineNames.forEach { marks.add(it to to.value) }
    }
}
