package io.reedmast.settings

import io.reedmast.wire.BodyCodec
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

class SettingsTest {
    private val good = Files.readString(Path.of("deploy/rehearsal.json"))

    private fun parse(text: String) = Settings.parse(BodyCodec.readJson(text.toByteArray()))

    private fun errorMessage(text: String): String = assertThrows(SettingsException::class.java) {
        parse(text)
    }.message.orEmpty()

    @Test
    fun `settings are read, and unknown fields are ignored`() {
        assertEquals("rehearsal", parse(good).label)
        assertEquals(parse(good), parse(good.replaceFirst("{", "{ \"novelty\": [1, {}],")))
    }

    @Test
    fun `the message names the field that cannot be used`() {
        val cases = mapOf(
            "\"label\": \"rehearsal\"" to ("\"label\": 7" to "label"),
            "127.0.0.1:18391" to ("localhost:18391" to "front"),
            "127.0.0.1:18394" to ("127.0.0.1:0" to "outside.state"),
            "\"nodes\": 1" to ("\"nodes\": 2" to "facts.nodes"),
            "\"lease_s\": 16.0" to ("\"lease_s\": -1.0" to "facts.workers.lease_s"),
            "\"cancel_s\": 41.0" to ("\"cancel_s\": 9.0" to "facts.workers.cancel_s"),
            "\"write_rps\": 20.0" to ("\"write_rps\": \"many\"" to "facts.state.write_rps"),
            "\"cpus\": 1.0," to ("\"cpus\": null," to "facts.teams[0].cpus"),
        )
        for ((old, case) in cases) {
            assertTrue(old in good, old)
            val message = errorMessage(good.replaceFirst(old, case.first))
            assertTrue(case.second in message, "$message should name ${case.second}")
        }
    }

    @Test
    fun `limits announced for later are read, and those not given keep their current values`() {
        assertEquals(null, parse(good).nextStoreLimits)
        val later =
            parse(
                good.replaceFirst(
                    "\"txn_ops\": 16",
                    "\"txn_ops\": 16, \"next\": { \"value_kb\": 2, \"txn_ops\": 5, \"novelty\": 1 }",
                ),
            )
        assertEquals(StoreLimits(100.0, 20.0, 2048, 5), later.nextStoreLimits)
        for ((next, field) in listOf(
            "{ \"value_kb\": 0 }" to "facts.state.next.value_kb",
            "{ \"txn_ops\": [] }" to "facts.state.next.txn_ops",
            "7" to "next",
        )) {
            val message = errorMessage(good.replaceFirst("\"txn_ops\": 16", "\"txn_ops\": 16, \"next\": $next"))
            assertTrue(field in message, "$message should name $field")
        }
    }

    @Test
    fun `a missing file and a file that is not JSON are told apart from bad fields`() {
        assertTrue(
            "cannot read" in
                assertThrows(SettingsException::class.java) {
                    Settings.load(Path.of("no/such/file"))
                }.message.orEmpty(),
        )
        val file = Files.createTempFile("settings", ".json")
        Files.writeString(file, "label = 1")
        assertTrue(
            "not a JSON map" in assertThrows(SettingsException::class.java) {
                Settings.load(file)
            }.message.orEmpty(),
        )
        Files.delete(file)
    }
}
