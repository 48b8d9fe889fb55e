package io.reedmast.kvstore

import com.github.benmanes.caffeine.cache.Caffeine
import org.slf4j.LoggerFactory

/**
 * Logs the stored records that cannot be read, each once while its path is remembered.
 *
 * A record is received again with every listing and every change to it. If it were logged each time, a record of an
 * older format would fill the log.
 */
class UnreadableRecordLog {
    private val log = LoggerFactory.getLogger("store")
    private val reportedPaths = Caffeine.newBuilder()
        .maximumSize(MAX_REMEMBERED)
        .executor(Runnable::run)
        .build<String, Boolean>()

    /** Logs that the record under [path] cannot be read, and [reason], unless that was logged before. */
    fun report(path: String, reason: String?) {
        if (reportedPaths.asMap().put(path, true) == null) log.error("record {} cannot be read: {}", path, reason)
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000L
    }
}
