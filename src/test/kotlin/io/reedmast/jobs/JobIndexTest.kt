package io.reedmast.jobs

import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent
import io.reedmast.sim.World
import io.reedmast.sim.testSettings
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.JobState
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
    private val index = JobIndex(testSettings()) { emptyList() }

    private fun record(isCancelled: Boolean = false): Fields {
        val record = LiveRecord(World.spec(JOB_ID, emptyMap()), chunkSize = 10, acceptedAtMs = 0, isCancelled)
        return BodyCodec.readCbor(BodyCodec.writeCbor(record.toFields()))
    }

    private fun accepted(version: Long) = WatchEvent(LIVE_PATH, record(), version)

    private fun cancelled(version: Long) = WatchEvent(LIVE_PATH, record(isCancelled = true), version)

    private fun removed(version: Long) = WatchEvent(LIVE_PATH, null, version)

    /**
     * An acceptance shared a transaction whose answer was lost. The job ended, everything was read anew, and only then
     * another key of the transaction showed that it had been applied.
     */
    @Test
    fun `an acceptance that is resolved after a reading without the job does not bring it back`() {
        index.applyListing(emptyList(), 100)

        index.applyRecord(LIVE_PATH, record(), 90)

        assertNull(index.liveJob(JOB_ID))
    }

    @Test
    fun `an acceptance that is resolved after the watch has shown the end does not bring the job back`() {
        index.applyListing(emptyList(), 80)
        index.applyWatchEvents(listOf(accepted(90), removed(95)), 95)

        index.applyRecord(LIVE_PATH, record(), 90)

        assertNull(index.liveJob(JOB_ID))
    }

    @Test
    fun `an acceptance that the watch has not reached is added at once and stays until its removal`() {
        index.applyListing(emptyList(), 80)

        index.applyRecord(LIVE_PATH, record(), 90)
        assertNotNull(index.liveJob(JOB_ID))

        index.applyWatchEvents(emptyList(), 85)
        index.applyListing(emptyList(), 86)
        assertNotNull(index.liveJob(JOB_ID))

        index.applyWatchEvents(listOf(accepted(90), removed(95)), 95)
        assertNull(index.liveJob(JOB_ID))
    }

    @Test
    fun `a job that an own transaction has ended is not added when the watch shows its acceptance`() {
        index.applyListing(emptyList(), 80)
        index.applyRecord(END_PATH, FinalRecord(JobState.DONE, 1).toFields(), 95)
        index.applyRecord(LIVE_PATH, null, 95)

        index.applyWatchEvents(listOf(accepted(90)), 92)

        assertNull(index.liveJob(JOB_ID))
    }

    /** Many thousand ends later, when that of the job is no longer remembered. */
    @Test
    fun `an own removal holds until the watch has shown it, whether the end is remembered or not`() {
        index.applyListing(emptyList(), 80)
        index.applyRecord(LIVE_PATH, null, 95)

        index.applyListing(listOf(StoredItem(LIVE_PATH, record(), 90)), 91)
        assertNull(index.liveJob(JOB_ID))

        index.applyWatchEvents(listOf(removed(95)), 95)
        assertNull(index.liveJob(JOB_ID))
    }

    /** The first page of a listing is older than the last one: a job that came meanwhile may be listed or not. */
    @Test
    fun `a listing whose pages are of different moments loses nothing`() {
        index.applyListing(listOf(StoredItem(LIVE_PATH, record(), 104)), 100)

        index.applyWatchEvents(listOf(WatchEvent("j/live/0/wk-2", record(), 102), accepted(104)), 110)

        assertNotNull(index.liveJob(JOB_ID))
    }

    @Test
    fun `an older record never replaces a newer one`() {
        index.applyListing(emptyList(), 80)
        index.applyWatchEvents(listOf(accepted(90), cancelled(93)), 93)

        index.applyRecord(LIVE_PATH, record(), 90)

        val job = checkNotNull(index.liveJob(JOB_ID))
        assertTrue(job.record.isCancelled)
        assertEquals(93, job.version)
    }

    private companion object {
        const val JOB_ID = "wk-1"
        const val LIVE_PATH = "j/live/0/$JOB_ID"
        const val END_PATH = "j/end/$JOB_ID"
    }
}
