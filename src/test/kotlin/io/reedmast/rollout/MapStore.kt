package io.reedmast.rollout

import io.reedmast.state.Change
import io.reedmast.state.Fetched
import io.reedmast.state.Item
import io.reedmast.state.Outcome
import io.reedmast.state.Write
import io.reedmast.wire.Fields
import java.util.TreeMap

/** Conditional writes over a map; while there is a list in [hold], changes are put there instead. */
class MapStore : RolloutStore {
    val items = TreeMap<String, Item>()
    private var revision = 0L
    var reads = 0
    var fullness = 1.0
    var hold: MutableList<() -> Unit>? = null

    fun put(path: String, value: Fields) {
        items[path] = Item(path, value, ++revision)
    }

    override fun commit(change: Change) {
        hold?.let { held ->
            held.add { apply(change) }
            return
        }
        apply(change)
    }

    private fun apply(change: Change) {
        val failed = change.guards.filter { (items[it.path]?.version ?: 0L) != it.version }.mapTo(HashSet()) { it.path }
        if (failed.isNotEmpty()) return change.done(Outcome.Conflict(failed))
        revision++
        change.writes.forEach { if (it is Write.Put) items[it.path] = Item(it.path, it.value, revision) else items.remove(it.path) }
        change.done(Outcome.Applied(revision))
    }

    override fun get(path: String, done: (Fetched) -> Unit) {
        reads++
        done(items[path]?.let { Fetched.Found(it) } ?: Fetched.Missing)
    }

    override fun list(prefix: String, done: (List<Item>?) -> Unit) = done(items.tailMap(prefix).values.takeWhile { it.path.startsWith(prefix) })

    override fun writeFullness() = fullness
}
