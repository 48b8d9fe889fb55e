package io.reedmast.cluster

import com.github.benmanes.caffeine.cache.Caffeine
import io.reedmast.settings.ShardId
import org.slf4j.LoggerFactory

/** Logs which machines the records of several shards name, each one once while it is remembered. */
internal class ContestedMachineLog(private val machines: MachineTable) {
    private val log = LoggerFactory.getLogger("cluster")
    private val reportedNames = Caffeine.newBuilder()
        .maximumSize(MAX_REMEMBERED)
        .executor(Runnable::run)
        .build<String, Boolean>()

    /** Logs what has not been logged before, at most [MAX_LINES] machines at each call. */
    fun runOnce() {
        val new = machines.recordedShards.contested.filter { it !in reportedNames.asMap() }
        new.take(MAX_LINES).forEach { report(it) }
    }

    private fun report(machineName: String) {
        reportedNames.put(machineName, true)
        val versions = machines.recordedShards.of(machineName).map {
            "shard ${it.value} at ${versionsOf(machineName, it)}"
        }
        log.error("machine {}: recorded in several shards: {}", machineName, versions)
    }

    /** The revisions of the shard's records that name the machine. */
    private fun versionsOf(machineName: String, shard: ShardId): List<Long> =
        machines.partsOf(shard).values.filter { it.part.contains(machineName) }.map { it.version }

    private companion object {
        const val MAX_REMEMBERED = 1_000L
        const val MAX_LINES = 10
    }
}
