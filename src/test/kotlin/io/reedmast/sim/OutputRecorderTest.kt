package io.reedmast.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** The digest by which changes are held to leave behaviour as it is. */
class OutputRecorderTest {
    private val body = mapOf("put" to "c/slice/0", "v" to mapOf("token" to 1L))

    private fun digestOf(record: OutputRecorder.() -> Unit) = OutputRecorder().apply(record).result()

    @Test
    fun `the same messages have the same digest`() {
        assertEquals(digestOf { record(5, "n0", "commit", body) }, digestOf { record(5, "n0", "commit", body) })
    }

    @Test
    fun `time, sender, body and order of messages all count`() {
        val digest = digestOf { record(5, "n0", "commit", body) }
        assertNotEquals(digest, digestOf { record(6, "n0", "commit", body) })
        assertNotEquals(digest, digestOf { record(5, "n1", "commit", body) })
        assertNotEquals(digest, digestOf { record(5, "n0", "commit", body + ("lease" to 1L)) })
        assertNotEquals(
            digestOf {
                record(5, "n0", "commit", body)
                record(5, "n0", "rent", body)
            },
            digestOf {
                record(5, "n0", "rent", body)
                record(5, "n0", "commit", body)
            },
        )
    }

    /**
     * Two plays of one day send the same messages: without that, no difference between two versions would mean
     * anything.
     */
    @Test
    fun `a day that is played twice has one digest`() {
        fun run(): String {
            val scenario = Scenario(RandomDay(1, gangs = true).lines())
            val recorder = OutputRecorder().also { scenario.world.recorder = it }
            scenario.run()
            return recorder.result()
        }
        assertEquals(run(), run())
    }
}
