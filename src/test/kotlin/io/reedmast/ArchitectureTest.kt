package io.reedmast

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Which package may use which, as docs/architecture.md draws it: decisions are pure, and nothing runs in circles. */
class ArchitectureTest {
    private val production: JavaClasses =
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages(ROOT)

    private val duties = listOf(
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

    /** Packages may use those of their own layer, as long as that makes no cycle, and of the layers below. */
    private val layers: List<List<String>> = listOf(
        listOf("app", "cli"),
        listOf("requests"),
        listOf("cluster"),
        listOf("shard"),
        duties,
        listOf("jobs"),
        listOf("model"),
        listOf("ports", "peers"),
        listOf("rollout", "deploy"),
        listOf("kvstore"),
        listOf("wire", "settings"),
    )

    private val decisions = duties + listOf("requests", "cluster", "shard", "jobs", "model", "rollout")

    private fun packages(names: Collection<String>) = names.map { "$ROOT.$it.." }.toTypedArray()

    @Test
    fun `every package stands in a layer`() {
        val named = production.map { it.packageName.removePrefix("$ROOT.").substringBefore('.') }.toSet()
        assertEquals(emptySet<String>(), named - layers.flatten().toSet())
    }

    @Test
    fun `packages use only those of the layers below them`() {
        for (depth in 1 until layers.size) {
            noClasses().that().resideInAnyPackage(*packages(layers[depth]))
                .should().dependOnClassesThat().resideInAnyPackage(*packages(layers.take(depth).flatten()))
                .allowEmptyShould(true)
                .check(production)
        }
    }

    @Test
    fun `packages do not use each other in a circle`() {
        slices().matching("$ROOT.(*)..").should().beFreeOfCycles().check(production)
    }

    @Test
    fun `decisions do no I-O`() {
        noClasses().that().resideInAnyPackage(*packages(decisions))
            .should().dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio..", "java.io..", "com.sun.net..", "okio..", "org.http4k..")
            .check(production)
    }

    @Test
    fun `nothing but the process itself depends on it`() {
        noClasses().that().resideOutsideOfPackages(*packages(layers.first()))
            .should().dependOnClassesThat().resideInAnyPackage(*packages(layers.first()))
            .check(production)
    }

    /** Programs embed it with a store of their own. */
    @Test
    fun `the rollout depends on no process, no connection and no scheduler`() {
        val embeddable = setOf("rollout", "kvstore", "wire", "settings")
        noClasses().that().resideInAPackage("$ROOT.rollout..")
            .should().dependOnClassesThat().resideInAnyPackage(*packages(layers.flatten() - embeddable))
            .orShould().dependOnClassesThat().haveFullyQualifiedName("$ROOT.kvstore.StoreClient")
            .orShould().dependOnClassesThat().haveSimpleNameContaining("Caller")
            .check(production)
    }

    @Test
    fun `bodies are read and written by the wire package alone`() {
        noClasses().that().resideOutsideOfPackage("$ROOT.wire..")
            .should().dependOnClassesThat().resideInAPackage("com.fasterxml.jackson..")
            .check(production)
    }

    @Test
    fun `settings depend on nothing but the wire's trees`() {
        classes().that().resideInAPackage("$ROOT.settings..")
            .should().onlyDependOnClassesThat()
            .resideInAnyPackage("$ROOT.settings..", "$ROOT.wire..", "java..", "kotlin..", "org.jetbrains..")
            .check(production)
    }

    private companion object {
        const val ROOT = "io.reedmast"
    }
}
