package io.reedmast.rollout

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.ListResult
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.wire.Fields
import java.util.TreeMap

/** A [RolloutStore] in memory; while [heldCommits] is a list, transactions are added to it instead of being applied. */
class MapStore : RolloutStore {
    val items = TreeMap<String, StoredItem>()
    private var revision = 0L
    var reads = 0
    var permitLevel = 1.0
    var heldCommits: MutableList<() -> Unit>? = null

    fun put(path: String, value: Fields) {
        items[path] = StoredItem(path, value, ++revision)
    }

    override fun commit(change: CasTransaction) {
        heldCommits?.let { held ->
            held.add { apply(change) }
            return
        }
        apply(change)
    }

    private fun apply(change: CasTransaction) {
        val failed = change.preconditions.filter {
            (items[it.path]?.version ?: 0L) != it.version
        }.mapTo(HashSet()) { it.path }
        if (failed.isNotEmpty()) return change.done(CommitOutcome.Conflict(failed))
        revision++
        change.writes.forEach {
            if (it is Write.Put) items[it.path] = StoredItem(it.path, it.value, revision) else items.remove(it.path)
        }
        change.done(CommitOutcome.Applied(revision))
    }

    override fun get(path: String, done: (ReadResult) -> Unit) {
        reads++
        done(items[path]?.let { ReadResult.Found(it) } ?: ReadResult.Missing)
    }

    override fun list(prefix: String, done: (ListResult) -> Unit) {
        val listed = items.tailMap(prefix).values.takeWhile { it.path.startsWith(prefix) }
        done(ListResult.Listing(listed, revision))
    }

    override fun writePermitLevel() = permitLevel
}
