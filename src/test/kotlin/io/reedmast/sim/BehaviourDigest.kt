package io.reedmast.sim

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.system.exitProcess

/**
 * Runs every scenario file and a set of generated days, and compares the output of the controllers with that of
 * another version. A day is one simulation run, defined by the lines of a scenario.
 *
 * It is meant for changes that must not alter behaviour. Run it from the project's root with the tests' class path:
 *
 *     BehaviourDigestKt write FILE        runs all days and writes a line for each: name, digest, number of messages
 *     BehaviourDigestKt compare FILE      runs all days and lists those that differ; exit code 1 if there are any
 *     BehaviourDigestKt transcript DAY FILE   writes every message of one day, to find where two versions diverge
 *
 * The environment variable DIGEST_THREADS sets how many days run in parallel (default 4).
 */
fun main(args: Array<String>) {
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", "off")
    when (args.firstOrNull()) {
        "write" -> File(args[1]).writeText(runAll(digestDays()).joinToString("") { "$it\n" })
        "compare" -> exitProcess(if (compare(File(args[1]).readLines()) == 0) 0 else 1)
        "transcript" -> File(args[2]).bufferedWriter().use { out ->
            digestDays().first { it.name == args[1] }.run(out)
        }
        else -> error("usage: write FILE, compare FILE, or transcript DAY FILE")
    }
}

/** One line of a digest file. */
private data class DayDigest(val name: String, val digest: String, val messages: Int) {
    override fun toString() = "$name $digest $messages"
}

/** A day, and the scenario lines that define it. */
private class DigestDay(val name: String, private val lines: () -> List<String>) {
    fun run(transcript: Appendable? = null): DayDigest {
        val scenario = Scenario(lines())
        val recorder = OutputRecorder(transcript)
        scenario.world.recorder = recorder
        val failure = try {
            scenario.run()
            ""
        } catch (e: AssertionError) {
            "-failed"
        }
        return DayDigest(name, recorder.result() + failure, recorder.count)
    }
}

private const val RANDOM_SEEDS = 60L
private const val LARGE_SEEDS = 8L
private const val LARGE_UPGRADE_SEEDS = 4L
private const val LARGE_ROLLOUT_SEEDS = 3L
private const val DEFAULT_THREADS = 4

private fun digestDays(): List<DigestDay> = scenarioDays() + randomDays() + largeDays()

private fun scenarioDays() =
    Path.of("src/test/resources/scenarios").listDirectoryEntries("*.txt").sorted().map { file ->
        DigestDay("scenario/${file.nameWithoutExtension}") { Files.readAllLines(file) }
    }

private fun randomDays() = (1L..RANDOM_SEEDS).flatMap { seed ->
    listOf(
        DigestDay("day/$seed") { RandomDay(seed).lines() },
        DigestDay("gang-day/$seed") { RandomDay(seed, gangs = true).lines() },
        DigestDay("upgrade-day/$seed") { RandomDay(seed, gangs = true, upgrade = true).lines() },
        DigestDay("rollout-day/$seed") { RandomDay(seed, rollout = true).lines() },
    )
}

private fun largeDays() = (1L..LARGE_SEEDS).map { seed -> DigestDay("large-day/$seed") { LargeDay(seed).lines() } } +
    (1L..LARGE_UPGRADE_SEEDS).map { seed ->
        DigestDay("large-upgrade-day/$seed") { LargeDay(seed, upgrade = true).lines() }
    } +
    (1L..LARGE_ROLLOUT_SEEDS).map { seed ->
        DigestDay("large-rollout-day/$seed") { LargeDay(seed, upgrade = true, rollout = true).lines() }
    }

/** Runs the days on several threads; each day has its own [World]. */
private fun runAll(days: List<DigestDay>): List<DayDigest> {
    val threads = Executors.newFixedThreadPool(System.getenv("DIGEST_THREADS")?.toInt() ?: DEFAULT_THREADS)
    try {
        return threads.invokeAll(days.map { Callable { it.run() } }).map { it.get() }
    } finally {
        threads.shutdownNow()
    }
}

/** Prints the days that differ from [expected] or occur only there, and returns their number. */
private fun compare(expected: List<String>): Int {
    val results = runAll(digestDays()).map { it.toString() }
    val differing = results.filter { it !in expected }.map { "differs: $it" } +
        expected.filter { line ->
            results.none { it.substringBefore(' ') == line.substringBefore(' ') }
        }.map { "not played: $it" }
    differing.forEach { println(it) }
    println("${results.size - differing.count { it.startsWith("differs") }} of ${results.size} days are as in the file")
    return differing.size
}
