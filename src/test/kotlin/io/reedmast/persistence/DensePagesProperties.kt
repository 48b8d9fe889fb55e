package io.reedmast.persistence

import io.reedmast.cluster.TokenCounter
import io.reedmast.kvstore.Write
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.settings.TeamId
import io.reedmast.sim.World
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.MalformedException
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.assertThrows
import java.util.BitSet

/** Conversions between page formats lose nothing in either direction, and every half-migrated state reads the same. */
class DensePagesProperties {
    /** The record as read back from the store. */
    private fun stored(fields: Fields): Fields = BodyCodec.readCbor(BodyCodec.writeCbor(fields))

    private fun plain(chunks: List<StoredChunk>): Fields = stored(PageFormat.PLAIN_SIZED.toFields(chunks))

    private fun read(page: Fields) = PageFormat.chunksOf(page) { throw it }

    @Provide
    fun chunks(): Arbitrary<List<StoredChunk>> = chunk().list().ofMaxSize(8)

    private fun chunk(): Arbitrary<StoredChunk> {
        val jobIds = Arbitraries.integers().between(0, 999_999).map { "wk-%06d".format(it) }
        val firsts = Arbitraries.integers().between(0, 99_999)
        val sizes = Arbitraries.integers().between(1, 330).injectNull(0.2)
        val done = Arbitraries.integers().between(0, 330).set().ofMaxSize(20).map { bits ->
            BitSet().apply { bits.forEach { set(it) } }
        }
        val placements = Combinators.combine(
            Arbitraries.integers().between(0, 329),
            Arbitraries.longs().between(0, Long.MAX_VALUE),
            Arbitraries.integers().between(0, 40).map { "host-%06d".format(it) },
        ).`as` { task, attempt, machineName -> StoredPlacement(task, attempt, machineName) }.list().ofMaxSize(12)
        return Combinators.combine(jobIds, firsts, sizes, done, placements).`as` { jobId, first, size, results, on ->
            StoredChunk(jobId, first, size, results, on.map { it.copy(task = first + it.task) })
        }
    }

    @Property(tries = 300, seed = "101")
    fun `forward and back is the identity`(@ForAll("chunks") chunks: List<StoredChunk>) {
        val page = plain(chunks)
        val dense = stored(DensePages.forward(page))
        assertTrue(DensePages.isDense(dense))
        assertEquals(page, stored(DensePages.backward(dense)))
    }

    @Property(tries = 300, seed = "102")
    fun `both formats read the same`(@ForAll("chunks") chunks: List<StoredChunk>) {
        assertEquals(chunks, read(plain(chunks)))
        assertEquals(chunks, read(stored(DensePages.forward(plain(chunks)))))
    }

    @Property(tries = 100, seed = "103")
    fun `each conversion leaves a record unchanged that already has the target format`(
        @ForAll("chunks") chunks: List<StoredChunk>,
    ) {
        val dense = stored(DensePages.forward(plain(chunks)))
        assertEquals(dense, DensePages.forward(dense))
        assertEquals(plain(chunks), DensePages.backward(plain(chunks)))
    }

    @Property(tries = 100, seed = "104")
    fun `a half migrated shard reads as before, whichever of its pages have been migrated`(
        @ForAll("chunks") first: List<StoredChunk>,
        @ForAll("chunks") second: List<StoredChunk>,
        @ForAll migrated: Boolean,
    ) {
        val pages = listOf(plain(first), plain(second))
        val half = pages.mapIndexed { index, page ->
            if ((index == 0) ==
                migrated
            ) {
                stored(DensePages.forward(page))
            } else {
                page
            }
        }
        assertEquals(pages.flatMap { read(it) }, half.flatMap { read(it) })
    }

    @Property(tries = 200, seed = "105")
    fun `the token counter goes forward and back`(@ForAll @LongRange(min = 0) token: Long) {
        val unfenced = stored(mapOf("token" to token))
        val fenced = stored(TokenCounter.forward(unfenced))
        assertThrows<MalformedException> { TokenCounter.backward(mapOf("form" to 0L)) }
        assertTrue("token" !in fenced)
        assertEquals(unfenced, stored(TokenCounter.backward(fenced)))
        assertEquals(token, TokenCounter.tokenOf(fenced))
    }

    /**
     * The space that a page reserves for its chunks is enough in each format, even if each task is placed on a
     * different machine.
     */
    @Property(tries = 60, seed = "106")
    fun `a full page fits its value`(
        @ForAll("taskCounts") taskCounts: List<Int>,
        @ForAll("attempts") attempts: Long,
        @ForAll("forms") format: PageFormat,
    ) {
        val page = ProgressPage(0)
        var machineCount = 0
        for ((index, taskCount) in taskCounts.withIndex()) {
            val job =
                Job(
                    World.spec("wk-%06d".format(index), mapOf("tasks" to "$taskCount")),
                    TeamId(0),
                    PageFormat.chunkSizeFor(VALUE_BYTES),
                    0L,
                    1L,
                )
            for (first in 0 until taskCount step PageFormat.chunkSizeFor(VALUE_BYTES)) {
                val chunk = job.chunkOf(first)
                if (!page.hasRoom(chunk, VALUE_BYTES * 95 / 100, format)) continue
                page.add(chunk)
                for (task in first until first + chunk.size) {
                    val machine =
                        Machine(MachineRecord("host-%06d".format(machineCount++), "m", "x", false), null, 0L, 0L)
                    job.add(
                        Placement(
                            job,
                            task,
                            if (machineCount % 2 ==
                                0
                            ) {
                                attempts
                            } else {
                                attempts + LARGEST_ATTEMPT_DIFFERENCE
                            },
                            machine,
                            0L,
                        ),
                    )
                }
            }
        }
        val put = Write.Put("page/0/0", page.toFields(emptySet(), format))
        val size = put.storedSize("mastil-0-abcdefgh-abcdefghijkl-99999")
        assertTrue(size <= VALUE_BYTES, "$format takes $size bytes")
    }

    @Provide
    fun taskCounts(): Arbitrary<List<Int>> = Arbitraries.oneOf(
        Arbitraries.integers().between(1, 4).list().ofSize(60),
        Arbitraries.integers().between(1, 100).list().ofSize(30),
    )

    @Provide
    fun attempts(): Arbitrary<Long> = Arbitraries.longs().between(1, 1L shl 40)

    @Provide
    fun forms(): Arbitrary<PageFormat> = Arbitraries.of(PageFormat.entries)

    private companion object {
        const val VALUE_BYTES = 2 * 1024

        /** Attempts in one page differ by no more than a few hundred thousand acquisitions of shards. */
        const val LARGEST_ATTEMPT_DIFFERENCE = 900_000_000_000L
    }
}
