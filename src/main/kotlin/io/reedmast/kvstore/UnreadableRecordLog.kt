package io.reedmast.kvstore

import com.github.benmanes.caffeine.cache.Caffeine
import org.slf4j.LoggerFactory

/**
 * Says which stored records cannot be read, each one once while it is remembered.
 *
 * The same record comes with every listing and every change of it: logged each time, one of an older form would fill
 * the log.
 */
class UnreadableRecordLog {
    private val log = LoggerFactory.getLogger("store")
    private val said = Caffeine.newBuilder().maximumSize(
        MAX_REMEMBERED,
    ).executor(Runnable::run).build<String, Boolean>()

    fun report(path: String, why: String?) {
        if (said.asMap().put(path, true) == null) log.error("record {} cannot be read: {}", path, why)
    }

    private companion object {
        const val MAX_REMEMBERED = 1_000L
    }
}
