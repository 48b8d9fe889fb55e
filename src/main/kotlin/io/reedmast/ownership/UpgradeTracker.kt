package io.reedmast.ownership

import io.reedmast.ports.Gateway
import io.reedmast.settings.Settings
import io.reedmast.state.Change
import io.reedmast.state.Guard
import io.reedmast.state.Keys
import io.reedmast.state.LimitsInForce
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.wire.Fields
import org.slf4j.LoggerFactory

/**
 * Finds out when every controller has a version that reads the records of today's format, and stores that it is so.
 *
 * Each controller names its format in its membership key, where earlier versions ignore the field. A controller that has been seen
 * with it never goes back, so the level never falls, and a process that starts later need not see all of them again.
 */
class UpgradeTracker(private val settings: Settings, private val out: Gateway, private val limits: LimitsInForce) {
    private val log = LoggerFactory.getLogger("cluster")
    private val upgraded = hashSetOf(settings.label)
    private var stored = false
    private var storing = false

    /** Takes up the value under [path], if it tells of a controller's format or of that of all. */
    fun see(path: String, value: Fields?) {
        if (value == null) return
        if (path == Keys.FORMAT && isCurrent(value)) {
            stored = true
            reached()
        }
        if (path.startsWith(Keys.NODES) && isCurrent(value)) upgraded.add(path.removePrefix(Keys.NODES))
    }

    private fun isCurrent(value: Fields) = (value[FORMAT_FIELD] as? Long ?: 0L) >= FORMAT

    private fun reached() {
        if (!limits.isLowered) log.info("every controller reads format {}", FORMAT)
        limits.lower()
    }

    /** Called while the state service is heard. */
    fun tick() {
        if (stored || storing || !settings.members.all { it.label in upgraded }) return
        reached()
        storing = true
        out.commit(
            Change(listOf(Guard(Keys.FORMAT, 0)), listOf(Write.Put(Keys.FORMAT, mapOf(FORMAT_FIELD to FORMAT)))) { outcome ->
                storing = false
                // Refused for its version: another controller has stored the same.
                if (outcome !is Outcome.Refused) stored = true
            },
        )
    }

    companion object {
        private const val FORMAT_FIELD = "format"

        /** The format of this version. Before it, records had none. */
        private const val FORMAT = 1L

        /** What a controller stores of itself, under its lease. */
        fun memberFields(label: String): Fields = mapOf("label" to label, FORMAT_FIELD to FORMAT)
    }
}
