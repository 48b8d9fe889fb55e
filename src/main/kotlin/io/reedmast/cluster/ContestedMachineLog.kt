package io.reedmast.cluster

import com.github.benmanes.caffeine.cache.Caffeine
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/**
 * Logs the machines that are recorded in several shards, each only once while it is among the [MAX_REMEMBERED]
 * remembered names.
 */
internal class ContestedMachineLog(private val machines: MachineTable) {
    private val log = LoggerFactory.getLogger("cluster")
    private val reportedNames = Caffeine.newBuilder()
        .maximumSize(MAX_REMEMBERED)
        .executor(Runnable::run)
        .build<String, Boolean>()

    /** Logs contested machines that are not remembered as logged, at most [MAX_LINES] of them per call. */
    fun runOnce() {
        val new = machines.recordedShards.contested.filter { it !in reportedNames.asMap() }
        new.take(MAX_LINES).forEach { report(it) }
    }

    private fun report(machineName: String) {
        reportedNames.put(machineName, true)
        val versions = machines.recordedShards.of(machineName).map {
            "shard ${it.value} at revisions ${versionsOf(machineName, it)}"
        }
        log.error("machine {}: recorded in several shards: {}", machineName, versions)
    }

    /** The revisions of the shard's machine-list records that contain the machine. */
    private fun versionsOf(machineName: String, shard: ShardId): List<Long> =
        machines.partsOf(shard).values.filter { it.part.contains(machineName) }.map { it.version }

    private companion object {
        const val MAX_REMEMBERED = 1_000L
        const val MAX_LINES = 10
    }
}
