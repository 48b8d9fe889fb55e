package io.reedmast

import io.reedmast.sim.Scenario
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension

/** Runs every file of src/test/resources/scenarios. */
class ScenarioTest {
    @TestFactory
    fun scenarios(): List<DynamicTest> =
        Path.of("src/test/resources/scenarios").listDirectoryEntries("*.txt").sorted().map { file ->
            DynamicTest.dynamicTest(file.nameWithoutExtension) { Scenario(Files.readAllLines(file)).run() }
        }
}
