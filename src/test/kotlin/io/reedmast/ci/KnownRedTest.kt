package io.reedmast.ci

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.absolutePathString
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/** Runs `.ci/KnownRed.java` on lists and test reports made here. */
class KnownRedTest {
    @TempDir
    lateinit var root: Path

    private class Result(val exitCode: Int, val output: String)

    @BeforeEach
    fun writeReport() {
        val reports = root.resolve("reports").createDirectories()
        reports.resolve("TEST-io.reedmast.QuotaTest.xml").writeText(
            """
            <testsuite>
              <testcase classname="io.reedmast.QuotaTest" name="passes()"/>
              <testcase classname="io.reedmast.QuotaTest" name="fails()"><failure message="broken"/></testcase>
            </testsuite>
            """.trimIndent(),
        )
    }

    private fun addScript(name: String, isExecutable: Boolean = true) {
        val script = root.resolve(name)
        script.parent.createDirectories()
        script.writeText("#!/bin/sh\n")
        script.toFile().setExecutable(isExecutable)
    }

    private fun check(vararg lines: String): Result {
        root.resolve("list.txt").writeText(lines.joinToString("\n"))
        val java = Path.of(System.getProperty("java.home"), "bin", "java").absolutePathString()
        val program = Path.of(".ci/KnownRed.java").absolutePathString()
        val process = ProcessBuilder(java, "-XX:TieredStopAtLevel=1", program, "list.txt", "reports")
            .directory(root.toFile())
            .redirectErrorStream(true)
            .start()
        val output = process.inputStream.bufferedReader().readText()
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), output)
        return Result(process.exitValue(), output)
    }

    private fun assertRefused(problem: String, vararg lines: String) {
        val result = check(*lines)
        assertEquals(1, result.exitCode, result.output)
        assertTrue("KNOWN-RED: $problem" in result.output, result.output)
    }

    @Test
    fun `a listed test may fail, and a script may be listed beside it`() {
        addScript("review/2/run.sh")
        val result = check("$FAILING | too slow | 1", "review/2/run.sh | no seed: waits | 2")
        assertEquals(0, result.exitCode, result.output)
        assertTrue("known red: $FAILING | too slow | 1" in result.output, result.output)
        assertTrue("not run here: review/2/run.sh | no seed: waits | 2" in result.output, result.output)
    }

    @Test
    fun `a listed test that passes is named`() {
        val result = check("$FAILING | too slow | 1", "QuotaTest#passes() | too slow | 1")
        assertTrue("passes, take it off the list: QuotaTest#passes()" in result.output, result.output)
    }

    @Test
    fun `a test that is not listed must not fail`() {
        addScript("review/2/run.sh")
        assertRefused("failed, and not listed: $FAILING", "review/2/run.sh | waits | 2")
    }

    @Test
    fun `a listed test must exist`() = assertRefused(
        "no such test was run: QuotaTest#other()",
        "$FAILING | too slow | 1",
        "QuotaTest#other() | too slow | 1",
    )

    @Test
    fun `a listed script must exist`() = assertRefused(
        "no such script: review/2/run.sh",
        "$FAILING | too slow | 1",
        "review/2/run.sh | waits | 2",
    )

    @Test
    fun `a listed script must be executable`() {
        addScript("review/2/claim.txt", isExecutable = false)
        assertRefused("no such script: review/2/claim.txt", "$FAILING | too slow | 1", "review/2/claim.txt | waits | 2")
    }

    @Test
    fun `a listed script must be a file of the repository`() =
        assertRefused("no such script: /bin/sh", "$FAILING | too slow | 1", "/bin/sh | waits | 2")

    @Test
    fun `a line holds one entry`() {
        addScript("review/2/run.sh")
        val line = "$FAILING | too slow | 1 || review/2/run.sh | waits | 2"
        assertRefused("not one entry of the form what | cause | issue: $line", line)
    }

    @Test
    fun `an entry has a cause and an issue`() {
        assertRefused("not one entry of the form", "$FAILING | too slow")
        assertRefused("not one entry of the form", "$FAILING | | 1")
    }

    @Test
    fun `an entry is listed once`() =
        assertRefused("listed twice: $FAILING", "$FAILING | too slow | 1", "$FAILING | too late | 2")

    @Test
    fun `at most three entries are listed`() {
        val scripts = (1..3).map { "review/$it/run.sh" }.onEach { addScript(it) }
        val lines = scripts.map { "$it | waits | 2" } + "$FAILING | too slow | 1"
        assertRefused("4 entries are listed, at most 3 may be", *lines.toTypedArray())
    }

    private companion object {
        const val FAILING = "QuotaTest#fails()"
        const val TIMEOUT_S = 60L
    }
}
