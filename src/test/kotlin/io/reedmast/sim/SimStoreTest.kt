package io.reedmast.sim

import io.reedmast.cluster.MachineListPart
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.Write
import io.reedmast.model.MachineRecord
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** What [SimStore] reports about machines in the records of several shards. */
class SimStoreTest {
    private val world = Scenario(listOf("team a 8 2", "machine-type m 4 5")).world
    private val store = world.store
    private val record = MachineRecord("host-1", "m", "x", spot = false)

    private fun put(vararg machinesByShard: Pair<Int, List<MachineRecord>>) {
        val writes = machinesByShard.map { (shard, records) ->
            Write.Put(Keys.machineList(shard, 0), MachineListPart.EMPTY.copy(records = records).toFields())
        }
        store.commit(StoreTransaction("t", emptyList(), writes))
    }

    @Test
    fun `a machine that is put into a second shard's records is reported`() {
        put(1 to listOf(record))
        put(2 to listOf(record))
        assertEquals(
            listOf("1.0 s: in_two_shards host-1: c/hosts/2/0 and c/hosts/1/0"),
            world.rules.violations,
        )
    }

    @Test
    fun `a machine that moves in one transaction is not reported`() {
        put(1 to listOf(record))
        put(1 to emptyList(), 2 to listOf(record))
        assertEquals(emptyList<String>(), world.rules.violations)
    }

    /** Contested day 802: a test had put the machine into the records of shard 0 just before it moved. */
    @Test
    fun `the move of a machine that a test has put into two shards' records is not reported`() {
        put(1 to listOf(record))
        store.duplicateMachineRecord("host-1", 0)
        put(1 to emptyList(), 2 to listOf(record))
        assertEquals(emptyList<String>(), world.rules.violations)
    }
}
