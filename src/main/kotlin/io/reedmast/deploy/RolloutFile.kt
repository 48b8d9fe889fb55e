package io.reedmast.deploy

import com.github.erosb.jsonsKema.JsonParseException
import com.github.erosb.jsonsKema.JsonParser
import com.github.erosb.jsonsKema.SchemaLoader
import com.github.erosb.jsonsKema.ValidationFailure
import com.github.erosb.jsonsKema.Validator
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.FeatureRegistry
import io.reedmast.rollout.MigrationPace
import io.reedmast.rollout.RolloutOptions
import io.reedmast.rollout.Target
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.map
import io.reedmast.wire.optionalAmount
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Thrown if the rollout file cannot be used; the message names the part of it that is at fault, and the reason. */
class RolloutFileException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** Reads the operators' file of desired features; checks it against its schema and this binary's features. */
object RolloutFile {
    private const val SCHEMA = "rollout.schema.json"

    /** Reads [file]; throws [RolloutFileException] if it cannot be read or used. */
    fun load(file: Path, registry: FeatureRegistry): RolloutOptions {
        val text = try {
            Files.readString(file)
        } catch (e: IOException) {
            throw RolloutFileException("cannot read rollout file $file: ${e.message}", e)
        }
        return try {
            parse(text, registry)
        } catch (e: RolloutFileException) {
            throw RolloutFileException("$file: ${e.message}", e)
        }
    }

    /** Reads [text] as a rollout file; throws [RolloutFileException] if it cannot be used. */
    fun parse(text: String, registry: FeatureRegistry): RolloutOptions {
        validate(text)
        val fields = BodyCodec.readJson(text.toByteArray())
        val desired = fields.map("features").entries.associate { FeatureName(it.key) to Target.of(it.value.toString()) }
        check(desired, registry)
        return RolloutOptions(registry, desired, pace(fields))
    }

    private fun validate(text: String) {
        val json = try {
            JsonParser(text).parse()
        } catch (e: JsonParseException) {
            throw RolloutFileException("the file is not JSON: ${e.message}", e)
        }
        val failure = Validator.forSchema(SchemaLoader(schema()).load()).validate(json) ?: return
        throw RolloutFileException(describe(failure))
    }

    private fun schema(): String {
        val resource =
            RolloutFile::class.java.getResourceAsStream(SCHEMA)
                ?: error("schema $SCHEMA is missing from the class path")
        return resource.use { it.readAllBytes().decodeToString() }
    }

    /** Describes the innermost failure, which is the most specific one. */
    private fun describe(failure: ValidationFailure): String {
        val innermost = generateSequence(failure) { it.causes.firstOrNull() }.last()
        val location = innermost.instance.location
        return "line ${location.lineNumber}, ${location.pointer}: ${innermost.message}"
    }

    /** Refuses targets that no controller could ever carry out, before the controller starts. */
    private fun check(desired: Map<FeatureName, Target>, registry: FeatureRegistry) {
        for ((name, target) in desired) {
            val feature = registry[name]
                ?: throw RolloutFileException(
                    "there is no feature $name; known are ${registry.inOrder.joinToString { it.name.value }}",
                )
            if (target == Target.DORMANT) continue
            for (dependency in feature.dependsOn) {
                val dependencyTarget = desired[dependency] ?: continue
                if (dependencyTarget < target) {
                    throw RolloutFileException(
                        "$name cannot be ${target.storedName} while $dependency, " +
                            "which it depends on, is ${dependencyTarget.storedName}",
                    )
                }
            }
        }
    }

    private fun pace(fields: Fields): MigrationPace {
        val default = MigrationPace()
        if (fields["pace"] == null) return default
        val pace = fields.map("pace")
        return MigrationPace(
            pace.optionalAmount("record_every_ms")?.toLong() ?: default.recordIntervalMs,
            pace.optionalAmount("least_budget") ?: default.minPermitLevel,
        )
    }
}
