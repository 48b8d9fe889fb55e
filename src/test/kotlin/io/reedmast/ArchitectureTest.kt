package io.reedmast

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/**
 * Checks the dependencies between packages that docs/architecture.md shows: packages that make decisions do no I/O, and
 * there are no dependency cycles.
 */
class ArchitectureTest {
    private val productionClasses: JavaClasses =
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(ROOT)

    private val subsystems = listOf(
        "scheduling",
        "gangs",
        "heartbeats",
        "machines",
        "autoscaling",
        "persistence",
        "commands",
        "placement",
        "fairshare",
    )

    /**
     * From top to bottom. A package may use packages of its own layer, as long as that creates no cycle, and of the
     * layers below.
     */
    private val layers: List<List<String>> = listOf(
        listOf("app", "cli"),
        listOf("requests"),
        listOf("cluster"),
        listOf("shard"),
        subsystems,
        listOf("jobs"),
        listOf("model"),
        listOf("ports", "peers"),
        listOf("rollout", "deploy"),
        listOf("kvstore"),
        listOf("wire", "settings"),
    )

    private val decisionPackages = subsystems + listOf("requests", "cluster", "shard", "jobs", "model", "rollout")

    private fun packagePatterns(names: Collection<String>) = names.map { "$ROOT.$it.." }.toTypedArray()

    @Test
    fun `every package is in a layer`() {
        val found = productionClasses.map { it.packageName.removePrefix("$ROOT.").substringBefore('.') }.toSet()
        assertEquals(emptySet<String>(), found - layers.flatten().toSet())
    }

    @Test
    fun `packages do not use packages of higher layers`() {
        for (depth in 1 until layers.size) {
            noClasses().that().resideInAnyPackage(*packagePatterns(layers[depth]))
                .should().dependOnClassesThat().resideInAnyPackage(*packagePatterns(layers.take(depth).flatten()))
                .allowEmptyShould(true)
                .check(productionClasses)
        }
    }

    @Test
    fun `packages have no dependency cycles`() {
        slices().matching("$ROOT.(*)..").should().beFreeOfCycles().check(productionClasses)
    }

    @Test
    fun `packages that make decisions do no I-O`() {
        noClasses().that().resideInAnyPackage(*packagePatterns(decisionPackages))
            .should().dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio..", "java.io..", "com.sun.net..", "okio..", "org.http4k..")
            .check(productionClasses)
    }

    @Test
    fun `no other package depends on the top layer`() {
        noClasses().that().resideOutsideOfPackages(*packagePatterns(layers.first()))
            .should().dependOnClassesThat().resideInAnyPackage(*packagePatterns(layers.first()))
            .check(productionClasses)
    }

    /** Other programs embed the rollout package with a store of their own. */
    @Test
    fun `the rollout package depends on no process, network connection or scheduler`() {
        val embeddable = setOf("rollout", "kvstore", "wire", "settings")
        noClasses().that().resideInAPackage("$ROOT.rollout..")
            .should().dependOnClassesThat().resideInAnyPackage(*packagePatterns(layers.flatten() - embeddable))
            .orShould().dependOnClassesThat().haveFullyQualifiedName("$ROOT.kvstore.StoreClient")
            .orShould().dependOnClassesThat().haveSimpleNameContaining("Caller")
            .check(productionClasses)
    }

    @Test
    fun `only the wire package encodes and decodes bodies`() {
        noClasses().that().resideOutsideOfPackage("$ROOT.wire..")
            .should().dependOnClassesThat().resideInAPackage("com.fasterxml.jackson..")
            .check(productionClasses)
    }

    @Test
    fun `the settings package depends only on the wire package`() {
        classes().that().resideInAPackage("$ROOT.settings..")
            .should().onlyDependOnClassesThat()
            .resideInAnyPackage("$ROOT.settings..", "$ROOT.wire..", "java..", "kotlin..", "org.jetbrains..")
            .check(productionClasses)
    }

    private companion object {
        const val ROOT = "io.reedmast"
    }
}
