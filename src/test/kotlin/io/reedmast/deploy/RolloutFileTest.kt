package io.reedmast.deploy

import io.reedmast.cluster.ClusterFeatures
import io.reedmast.persistence.DensePages
import io.reedmast.rollout.MigrationPace
import io.reedmast.rollout.Target
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import java.nio.file.Path

/** The content of the operators' rollout file is read, and the message of each kind of error names the place. */
class RolloutFileTest {
    private fun refused(text: String, vararg words: String) {
        val message = assertThrows<RolloutFileException> {
            RolloutFile.parse(text, ClusterFeatures.registry)
        }.message.orEmpty()
        words.forEach { assertTrue(it in message, "$it is not in: $message") }
        assertEquals(1, message.lines().size, message)
    }

    @Test
    fun `the shipped file can be used`() {
        val options = RolloutFile.load(Path.of("deploy/rollout.json"), ClusterFeatures.registry)
        assertEquals(
            mapOf(ClusterFeatures.FENCED_TOKENS to Target.ENABLED, DensePages.FEATURE to Target.ENABLED),
            options.desired,
        )
        assertEquals(MigrationPace(100, 0.7), options.pace)
    }

    @Test
    fun `the default pace is used if the file gives none`() {
        assertEquals(MigrationPace(), RolloutFile.parse("""{"features":{}}""", ClusterFeatures.registry).pace)
    }

    @Test
    fun `a file that is not JSON, or has a wrong type, an unknown field or a number out of range, is refused`() {
        refused("{", "not JSON")
        refused("[]", "line 1")
        refused("{}", "features")
        refused("{\"features\":{\"dense-pages\":true}}", "#/features/dense-pages")
        refused("{\"features\":{\"dense-pages\":\"on\"}}", "#/features/dense-pages")
        refused("{\n\"features\":{},\n\"speed\":1}", "line 3", "speed")
        refused("{\"features\":{},\"pace\":{\"record_every_ms\":1}}", "#/pace/record_every_ms")
        refused("{\"features\":{},\"pace\":{\"least_budget\":1.5}}", "#/pace/least_budget")
    }

    @Test
    fun `a feature that is unknown, or contradicts the target of a dependency, is refused`() {
        refused("{\"features\":{\"denser-pages\":\"enabled\"}}", "denser-pages", "fenced-tokens")
        refused(
            "{\"features\":{\"dense-pages\":\"enabled\",\"fenced-tokens\":\"dormant\"}}",
            "dense-pages",
            "fenced-tokens",
        )
        refused("{\"features\":{\"dense-pages\":\"finalized\",\"fenced-tokens\":\"enabled\"}}", "finalized")
    }

    @Test
    fun `the message names a file that does not exist`() {
        val message = assertThrows<RolloutFileException> {
            RolloutFile.load(Path.of("no/such/file"), ClusterFeatures.registry)
        }.message.orEmpty()
        assertTrue("no/such/file" in message, message)
    }
}
