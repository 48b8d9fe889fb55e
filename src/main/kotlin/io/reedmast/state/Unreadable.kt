package io.reedmast.state

import com.github.benmanes.caffeine.cache.Caffeine
import org.slf4j.LoggerFactory

/**
 * Says which stored records cannot be read, each one once while it is remembered.
 *
 * The same record comes with every listing and every change of it: logged each time, one of an older form would fill the log.
 */
class Unreadable {
    private val log = LoggerFactory.getLogger("state")
    private val said = Caffeine.newBuilder().maximumSize(MOST_REMEMBERED).executor(Runnable::run).build<String, Boolean>()

    fun note(path: String, why: String?) {
        if (said.asMap().put(path, true) == null) log.error("record {} cannot be read: {}", path, why)
    }

    private companion object {
        const val MOST_REMEMBERED = 1_000L
    }
}
