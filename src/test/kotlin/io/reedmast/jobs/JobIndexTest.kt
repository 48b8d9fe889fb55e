package io.reedmast.jobs

import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent
import io.reedmast.sim.World
import io.reedmast.sim.testSettings
import io.reedmast.wire.Fields
import io.reedmast.wire.JobState
import io.reedmast.wire.Tree
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Whatever order the watch, readings and late answers come in, the index holds a job exactly as long as it is
 * unfinished.
 */
class JobIndexTest {
    private val settings = testSettings()
    private val index = JobIndex(settings) { emptyList() }
    private val path = "j/live/0/wk-1"

    private fun record(isCancelled: Boolean = false): Fields =
        Tree.readCbor(Tree.writeCbor(LiveRecord(World.spec("wk-1", emptyMap()), 10, 0, isCancelled).toFields()))

    /**
     * An acceptance shared a transaction whose answer was lost. The job ended, everything was read anew, and only then
     * another key of the transaction showed that it had been applied.
     */
    @Test
    fun `an acceptance that is settled after the job's end does not bring it back`() {
        index.load(emptyList(), 100)
        index.applyRecord(path, record(), 90)
        assertNull(index.live("wk-1"))
    }

    @Test
    fun `nor after the watch has told of the end`() {
        index.load(emptyList(), 80)
        index.follow(listOf(WatchEvent(path, record(), 90), WatchEvent(path, null, 95)), 95)
        index.applyRecord(path, record(), 90)
        assertNull(index.live("wk-1"))
    }

    @Test
    fun `an acceptance that the watch has not reached is taken up at once`() {
        index.load(emptyList(), 80)
        index.applyRecord(path, record(), 90)
        assertNotNull(index.live("wk-1"))
        index.follow(emptyList(), 85)
        index.load(emptyList(), 86)
        assertNotNull(index.live("wk-1"))
        index.follow(listOf(WatchEvent(path, record(), 90), WatchEvent(path, null, 95)), 95)
        assertNull(index.live("wk-1"))
    }

    @Test
    fun `the watch tells of a job that our own change has ended`() {
        index.load(emptyList(), 80)
        index.applyRecord("j/end/wk-1", EndRecord(JobState.DONE, 1).toFields(), 95)
        index.applyRecord(path, null, 95)
        index.follow(listOf(WatchEvent(path, record(), 90)), 92)
        assertNull(index.live("wk-1"))
    }

    /** Many thousand ends later, when that of the job is no longer remembered. */
    @Test
    fun `an end of our own holds until the watch has told it, whatever else ends meanwhile`() {
        index.load(emptyList(), 80)
        index.applyRecord(path, null, 95)
        index.load(listOf(StoredItem(path, record(), 90)), 91)
        assertNull(index.live("wk-1"))
        index.follow(listOf(WatchEvent(path, null, 95)), 95)
        assertNull(index.live("wk-1"))
    }

    /** The first page of a listing is older than the last one: a job that came meanwhile may be listed or not. */
    @Test
    fun `a listing whose pages are of different moments loses nothing`() {
        index.load(listOf(StoredItem(path, record(), 104)), 100)
        index.follow(listOf(WatchEvent("j/live/0/wk-2", record(), 102), WatchEvent(path, record(), 104)), 110)
        assertNotNull(index.live("wk-1"))
    }

    @Test
    fun `an older state never replaces a newer one`() {
        index.load(emptyList(), 80)
        index.follow(listOf(WatchEvent(path, record(), 90), WatchEvent(path, record(isCancelled = true), 93)), 93)
        index.applyRecord(path, record(), 90)
        assertTrue(checkNotNull(index.live("wk-1")).record.isCancelled)
        assertEquals(93, index.live("wk-1")?.version)
    }
}
