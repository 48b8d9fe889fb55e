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
 * The index holds a job exactly as long as it is unfinished, in whatever order watch events, listings and late outcomes
 * of this controller's own transactions are applied.
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
     * The response to the transaction that accepted the job was lost. The job ended and all records were listed again,
     * and only then did another key of the transaction show that it had been applied.
     */
    @Test
    fun `an acceptance confirmed after a listing without the job does not add the job again`() {
        index.applyListing(emptyList(), 100)

        index.applyRecord(LIVE_PATH, record(), 90)

        assertNull(index.liveJob(JOB_ID))
    }

    @Test
    fun `an acceptance confirmed after the watch has delivered the removal does not add the job again`() {
        index.applyListing(emptyList(), 80)
        index.applyWatchEvents(listOf(accepted(90), removed(95)), 95)

        index.applyRecord(LIVE_PATH, record(), 90)

        assertNull(index.liveJob(JOB_ID))
    }

    @Test
    fun `a job whose acceptance the watch has not reached is added at once and stays until its removal`() {
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
    fun `a job ended by an own transaction is not added when the watch delivers its acceptance`() {
        index.applyListing(emptyList(), 80)
        index.applyRecord(END_PATH, FinalRecord(JobState.DONE, 1).toFields(), 95)
        index.applyRecord(LIVE_PATH, null, 95)

        index.applyWatchEvents(listOf(accepted(90)), 92)

        assertNull(index.liveJob(JOB_ID))
    }

    /** Applies no final record, as if it had been evicted from the cache after many thousand other jobs ended. */
    @Test
    fun `an own removal holds until the watch has delivered it, even without a cached final record`() {
        index.applyListing(emptyList(), 80)
        index.applyRecord(LIVE_PATH, null, 95)

        index.applyListing(listOf(StoredItem(LIVE_PATH, record(), 90)), 91)
        assertNull(index.liveJob(JOB_ID))

        index.applyWatchEvents(listOf(removed(95)), 95)
        assertNull(index.liveJob(JOB_ID))
    }

    /** The first page of a listing is older than the last: a job added in between may or may not be listed. */
    @Test
    fun `a listing whose pages were read at different times loses no job`() {
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
