package io.reedmast

import io.reedmast.autoscaling.ShardUsageSummary
import io.reedmast.cluster.MachineListPart
import io.reedmast.jobs.FinalRecord
import io.reedmast.jobs.LiveRecord
import io.reedmast.model.ChargedUsage
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.model.ShardRecord
import io.reedmast.peers.PeerCodec
import io.reedmast.persistence.PageFormat
import io.reedmast.persistence.ProgressPage
import io.reedmast.persistence.StoredChunk
import io.reedmast.settings.ShardId
import io.reedmast.settings.TeamId
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.JobShape
import io.reedmast.wire.map
import io.reedmast.wire.maps
import io.reedmast.wire.text
import okio.Buffer
import okio.ByteString.Companion.decodeHex
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

/**
 * Records and frames written by the version in production (`writtenBy` in the file names its commit) are read with
 * the meaning they had there, and written back in the same form: while both versions serve, each reads what the other
 * has stored.
 */
class ProductionFormatTest {
    private val records = BodyCodec.readJson(Files.readAllBytes(Path.of("src/test/resources/production/records.json")))

    private fun record(name: String): Fields = records.map(name)

    /** The record as read back from the store. */
    private fun stored(fields: Fields): Fields = BodyCodec.readCbor(BodyCodec.writeCbor(fields))

    private fun assertSameForm(name: String, written: Fields) = assertEquals(record(name), stored(written), name)

    @Test
    fun `records of shards, machines and jobs`() {
        assertSameForm("slice", ShardRecord.parse(record("slice")).toFields())
        assertSameForm("hosts", MachineListPart.parse(record("hosts")).toFields())
        for (name in listOf(
            "live-array",
            "live-service",
            "live-cancelled",
        )) {
            assertSameForm(name, LiveRecord.parse(record(name)).toFields())
        }
        for (name in listOf(
            "end-done",
            "end-cancelled",
        )) {
            assertSameForm(name, FinalRecord.parse(record(name)).toFields())
        }
        assertEquals(JobShape.SERVICE, LiveRecord.parse(record("live-service")).spec.shape)
        assertEquals(JobShape.ARRAY, LiveRecord.parse(record("live-array")).spec.shape)
    }

    @Test
    fun `usage summary of a shard`() {
        val totals = ShardUsageSummary.parse(ShardId(1), record("totals"))
        val usage = ChargedUsage(SIX_HOURS_MS).apply { load(totals.usage) }
        assertEquals(record("totals").map("usage"), stored(usage.toFields(listOf(TeamId(0), TeamId(3)))))
        assertSameForm("totals", totals.truncatedTo(VALUE_BYTES).toFields() + ("term" to record("totals")["term"]))
    }

    /**
     * The version in production does not write the field for the format and ignores it when it reads the key: the
     * existence of the key alone tells it that the controller is present.
     */
    @Test
    fun `the key of a controller`() {
        assertEquals(setOf("label"), record("member").keys)
    }

    @Test
    fun `pages of progress, while an earlier version may read them`() {
        val page = ProgressPage(0)
        val jobs = HashMap<String, Job>()
        for (chunk in record("page").maps("chunks")) {
            val read = StoredChunk.parse(chunk)
            val live = LiveRecord.parse(record(if (read.jobId == "wk-000001") "live-array" else "live-service"))
            val job = jobs.getOrPut(read.jobId) { Job(live.spec, TeamId(0), live.chunkSize, 0L, 1L) }
            read.done.stream().forEach { job.markDone(read.first + it) }
            read.placements.forEach { on ->
                job.add(
                    Placement(
                        job,
                        on.task,
                        on.attempt,
                        Machine(MachineRecord(on.machineName, "g8", "x", false), null, 0L, 0L),
                        0L,
                    ),
                )
            }
            page.add(job.chunkOf(read.first))
        }
        assertSameForm("page", page.toFields(emptySet(), PageFormat.PLAIN_UNSIZED))
        assertFalse(PageFormat.hasChunkSizes(record("page")))
    }

    @Test
    fun `frames between controllers`() {
        for (name in listOf("frame-news", "frame-takeover", "frame-query", "frame-report")) {
            val sent = records.text(name).decodeHex()
            val again = Buffer().also { PeerCodec.write(it, PeerCodec.read(Buffer().write(sent))) }.readByteString()
            assertEquals(sent, again, name)
        }
    }

    private companion object {
        const val SIX_HOURS_MS = 6 * 3_600_000L
        const val VALUE_BYTES = 8 * 1024
    }
}
