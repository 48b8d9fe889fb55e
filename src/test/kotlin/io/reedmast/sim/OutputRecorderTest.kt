package io.reedmast.sim

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Tests the digest that is used to check that a change does not alter behaviour. */
class OutputRecorderTest {
    private val body = mapOf("put" to "c/slice/0", "v" to mapOf("token" to 1L))

    private fun digestOf(record: OutputRecorder.() -> Unit) = OutputRecorder().apply(record).result()

    @Test
    fun `the same messages have the same digest`() {
        assertEquals(digestOf { record(5, "n0", "commit", body) }, digestOf { record(5, "n0", "commit", body) })
    }

    @Test
    fun `the digest depends on the time, sender, body and order of messages`() {
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
     * Two runs of one day must send the same messages; otherwise a difference between two versions would prove nothing.
     */
    @Test
    fun `two runs of one day have the same digest`() {
        fun run(): String {
            val scenario = Scenario(RandomDay(1, gangs = true).lines())
            val recorder = OutputRecorder().also { scenario.world.recorder = it }
            scenario.run()
            return recorder.result()
        }
        assertEquals(run(), run())
    }
}
