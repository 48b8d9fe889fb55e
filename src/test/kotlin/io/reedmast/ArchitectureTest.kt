package io.reedmast

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import org.junit.jupiter.api.Test

/** Which package may use which: decisions are pure, and the names of the wire stay behind its codecs. */
class ArchitectureTest {
    private val production: JavaClasses =
        ClassFileImporter().withImportOption(ImportOption.DoNotIncludeTests()).importPackages("io.reedmast")

    private val decisions = arrayOf("placement", "fairshare", "jobs", "ownership", "fleet", "workers", "rollout").map {
        "io.reedmast.$it.."
    }.toTypedArray()

    @Test
    fun `decisions do no I-O`() {
        noClasses().that().resideInAnyPackage(*decisions)
            .should().dependOnClassesThat().resideInAnyPackage(
                "java.net..",
                "java.nio..",
                "java.io..",
                "com.sun.net..",
                "okio..",
                "org.http4k..",
            )
            .check(production)
    }

    @Test
    fun `nothing but the process itself depends on it`() {
        noClasses().that().resideOutsideOfPackage("io.reedmast.app..")
            .should().dependOnClassesThat().resideInAPackage("io.reedmast.app..")
            .check(production)
    }

    /** Programs embed it with a store of their own. */
    @Test
    fun `the rollout depends on no process, no connection and no scheduler`() {
        noClasses().that().resideInAPackage("io.reedmast.rollout..")
            .should().dependOnClassesThat()
            .resideInAnyPackage(
                *listOf("app", "deploy", "fleet", "jobs", "ownership", "peers", "placement", "ports", "workers").map {
                    "io.reedmast.$it.."
                }.toTypedArray(),
            )
            .orShould().dependOnClassesThat().haveFullyQualifiedName("io.reedmast.kvstore.StateClient")
            .orShould().dependOnClassesThat().haveFullyQualifiedName("io.reedmast.wire.Caller")
            .check(production)
    }

    @Test
    fun `bodies are read and written by the wire package alone`() {
        noClasses().that().resideOutsideOfPackage("io.reedmast.wire..")
            .should().dependOnClassesThat().resideInAPackage("com.fasterxml.jackson..")
            .check(production)
    }

    @Test
    fun `settings depend on nothing but the wire's trees`() {
        classes().that().resideInAPackage("io.reedmast.settings..")
            .should().onlyDependOnClassesThat()
            .resideInAnyPackage("io.reedmast.settings..", "io.reedmast.wire..", "java..", "kotlin..", "org.jetbrains..")
            .check(production)
    }
}
