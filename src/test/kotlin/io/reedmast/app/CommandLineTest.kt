package io.reedmast.app

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

/** Starts the program as an operator does. Guards against a fault: the exit code was 0 whatever went wrong. */
class CommandLineTest {
    private fun run(vararg args: String): Pair<Int, String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val errors = Files.createTempFile("errors", ".txt")
        val process = ProcessBuilder(
            listOf(java, "-cp", System.getProperty("java.class.path"), "io.reedmast.app.MainKt") + args,
        )
            .redirectError(errors.toFile()).redirectOutput(ProcessBuilder.Redirect.DISCARD).start()
        val code = process.waitFor()
        return code to Files.readString(errors).also { Files.delete(errors) }
    }

    @Test
    fun `unusable flags and settings end the program with exit code 2 and the reason on standard error`() {
        val flag = run("--bogus")
        assertEquals(2, flag.first)
        assertTrue("--bogus" in flag.second && "Usage" in flag.second, flag.second)
        val file = run("--config", "no/such/file")
        assertEquals(2, file.first)
        assertEquals(1, file.second.trim().lines().size, file.second)
        assertEquals(0, run("--version").first)
    }

    @Test
    fun `an unusable rollout file ends the program with exit code 2 and one line on standard error`() {
        val settings = "deploy/rehearsal.json"
        val file = Files.createTempFile("rollout", ".json")
        Files.writeString(file, "{\"features\":{\"denser-pages\":\"enabled\"}}")
        val unknown = run("--config", settings, "--rollout", file.toString())
        assertEquals(2, unknown.first)
        assertTrue("there is no feature denser-pages" in unknown.second, unknown.second)
        assertEquals(1, unknown.second.trim().lines().size, unknown.second)
        val missing = run("--config", settings, "--rollout", "no/such/file")
        assertEquals(2, missing.first)
        assertEquals(1, missing.second.trim().lines().size, missing.second)
        Files.delete(file)
    }

    @Test
    fun `a command is refused with exit code 1 and the reason if the store does not answer`() {
        val refused = run(
            *("--config deploy/rehearsal.json rollout enable fenced-tokens --by somebody --why").split(
                ' ',
            ).toTypedArray(),
            "a test",
        )
        assertEquals(1, refused.first)
        assertTrue("the store does not answer" in refused.second, refused.second)
    }
}
