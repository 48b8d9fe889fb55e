package io.reedmast.cluster

import com.github.benmanes.caffeine.cache.Caffeine
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
        val new = machines.contested.filter { it !in reportedNames.asMap() }
        new.take(MAX_LINES).forEach { report(it) }
    }

    private fun report(machineName: String) {
        reportedNames.put(machineName, true)
        val versions = machines.recordsNaming(machineName).map { "shard ${it.shard.value} at revision ${it.version}" }
        log.error("machine {}: recorded in several shards: {}", machineName, versions)
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000L
        const val MAX_LINES = 10
    }
}
