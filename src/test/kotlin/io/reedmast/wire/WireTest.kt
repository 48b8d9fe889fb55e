package io.reedmast.wire

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.HexFormat

class WireTest {
    private val job =
        mapOf(
            "ref" to "wk-000001", "lot" to "train", "crew" to "vision", "shape" to "array", "rank" to "urgent",
            "pieces" to 3,
            "cpus" to 1, "gpus" to 0.0, "memGb" to 2.0, "bundle" to "img-1", "sizeGb" to 1.5, "builds" to null,
            "yard" to null,
            "oneZone" to false, "apart" to false, "driftwood" to true, "guessS" to 20.0, "markS" to 0.0, "stowS" to 0.0,
            "dueS" to null,
        )

    private fun parse(fields: Map<String, Any?>) = JobSpec.parse(BodyCodec.readCbor(BodyCodec.writeCbor(fields)))

    @Test
    fun `integers are read as decimals where these are expected, and null counts as omitted`() {
        assertEquals(1.0, parse(job).cpus)
        assertEquals(parse(job), parse(job - "yard" - "builds" - "dueS"))
    }

    @Test
    fun `a job is the same after it has been stored and read`() {
        assertEquals(parse(job), parse(parse(job).toFields()))
    }

    @Test
    fun `floats of any width and lengths of any form are read`() {
        // {"a": 1.5 (half), "b": 1.5 (single), "c": [_ 1]} with an indefinite map.
        val bytes = HexFormat.of().parseHex("bf" + "6161" + "f93e00" + "6162" + "fa3fc00000" + "6163" + "9f01ff" + "ff")
        val fields = BodyCodec.readCbor(bytes)
        assertEquals(1.5, fields.amount("a"))
        assertEquals(1.5, fields.amount("b"))
        assertEquals(listOf(1L), fields["c"])
    }

    @Test
    fun `malformed submissions are refused`() {
        val bad =
            listOf(
                job - "ref", job + ("ref" to 7), job + ("ref" to "a/b"), job + ("pieces" to 0),
                job + ("pieces" to 100_001), job + ("pieces" to 1.5),
                job + ("cpus" to Double.NaN), job + ("cpus" to Double.POSITIVE_INFINITY), job + ("memGb" to -1.0),
                job + ("rank" to "soon"),
                job + ("shape" to "squad"), job + ("oneZone" to "yes"), job + ("builds" to listOf(1)),
                job + ("dueS" to "late"),
            )
        for (fields in bad) assertThrows(MalformedException::class.java, { parse(fields) }, fields.toString())
    }

    /** A job that lacks a field must not be accepted: only a field that may be null may be omitted. */
    @Test
    fun `every field is checked for its type, and is required unless it may be null`() {
        val optional = setOf("builds", "yard", "dueS")
        for (name in job.keys - optional) {
            assertThrows(MalformedException::class.java, { parse(job - name) }, "without $name")
            assertThrows(MalformedException::class.java, { parse(job + (name to null)) }, "$name is null")
        }
        for (name in job.keys) {
            assertThrows(MalformedException::class.java, { parse(job + (name to mapOf("x" to 1))) }, "$name is a map")
            val wrong: Any = if (job[name] is String || name == "yard") 7 else "seven"
            assertThrows(MalformedException::class.java, { parse(job + (name to wrong)) }, "$name is $wrong")
        }
        for (name in listOf("cpus", "gpus", "memGb", "sizeGb", "guessS", "markS", "stowS", "dueS")) {
            for (value in listOf(-0.5, Double.NaN, Double.NEGATIVE_INFINITY)) {
                assertThrows(MalformedException::class.java, { parse(job + (name to value)) }, "$name is $value")
            }
        }
        for (jobId in listOf(
            "",
            "wk-",
            "wk-12x",
            "job-000001",
            "wk 000001",
            "WK-000001",
            "wk-000001/0",
            "wk-" + "1".repeat(19),
        )) {
            assertThrows(MalformedException::class.java, { parse(job + ("ref" to jobId)) }, "ref is $jobId")
        }
    }

    @Test
    fun `a body that is not exactly one CBOR map is malformed`() {
        for (bytes in listOf(
            byteArrayOf(),
            byteArrayOf(0x01),
            byteArrayOf(0x80.toByte()),
            byteArrayOf(0xa1.toByte(), 0x61),
            byteArrayOf(0xa0.toByte(), 0xa0.toByte()),
            "{}".toByteArray(),
        )) {
            assertThrows(MalformedException::class.java) { BodyCodec.readCbor(bytes) }
        }
    }

    @Test
    fun `counts are integers of at least 0`() {
        assertEquals(5L, mapOf("n" to 5).count("n"))
        assertThrows(MalformedException::class.java) { mapOf("n" to -1L).count("n") }
        assertThrows(MalformedException::class.java) { mapOf("n" to 1.0).count("n") }
    }
}
