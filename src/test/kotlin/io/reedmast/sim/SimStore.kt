package io.reedmast.sim

import io.reedmast.cluster.MachineListPart
import io.reedmast.kvstore.CommitReply
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.StoreTransaction
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.WatchEvent
import io.reedmast.kvstore.Write
import io.reedmast.persistence.PageFormat
import io.reedmast.settings.StoreLimits
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.StoreMessages
import io.reedmast.wire.TaskId
import io.reedmast.wire.maps
import java.util.TreeMap

/** The store of PROTOCOL: conditional transactions, versions, leases. */
class SimStore(private val world: World) {
    private class Entry(val value: Fields, val version: Long, val lease: Long?)

    private val entries = TreeMap<String, Entry>()
    private val changeLog = ArrayList<WatchEvent>()
    private val leases = HashMap<Long, Long>()
    private var leaseCount = 0L
    private var compactedRevision = 0L

    /** How many items one page of a listing holds. */
    var pageSize = 500

    /** How many changes are retained at least, for watches. */
    var retainedChanges = 10_000
    var revision = 1L
        private set
    var up = true
        private set

    fun outage(ms: Long) {
        up = false
        world.after(ms) {
            up = true
            leases.replaceAll { _, _ -> world.now() + LEASE_AFTER_OUTAGE_MS }
        }
    }

    fun get(path: String): StoredItem? {
        expire()
        return entries[path]?.let { StoredItem(path, it.value, it.version) }
    }

    /** All keys with a prefix, in a single read. */
    fun all(prefix: String): List<StoredItem> {
        expire()
        return entries.tailMap(prefix).entries.takeWhile {
            it.key.startsWith(prefix)
        }.map { StoredItem(it.key, it.value.value, it.value.version) }
    }

    /** One page of the keys with a prefix, and whether there are more. */
    class Page(val items: List<StoredItem>, val more: Boolean)

    fun page(prefix: String, after: String?): Page {
        expire()
        val from = if (after == null) entries.tailMap(prefix) else entries.tailMap(after, false)
        val items = from.entries.asSequence().takeWhile { it.key.startsWith(prefix) }.take(pageSize + 1)
            .map { StoredItem(it.key, it.value.value, it.value.version) }.toList()
        return Page(items.take(pageSize), items.size > pageSize)
    }

    /** All changes after the revision [after]; null if some of them are no longer retained. */
    fun changesSince(after: Long): List<WatchEvent>? {
        expire()
        if (after < compactedRevision) return null
        var from = changeLog.size
        while (from > 0 && changeLog[from - 1].version > after) from--
        return changeLog.subList(from, changeLog.size).toList()
    }

    /** Drops old changes, as the real store does once there are [retainedChanges] newer ones. */
    private fun compactLog() {
        if (changeLog.size < retainedChanges * 2) return
        val dropped = changeLog.subList(0, changeLog.size - retainedChanges)
        compactedRevision = dropped.last().version
        dropped.clear()
    }

    /** The number of puts and deletes applied; each counts towards the store's limit on writes. */
    var writeCount = 0
        private set

    /** The number of puts applied, by the first segment of their keys. */
    val putsByKind = HashMap<String, Int>()

    /** Replaces a value by one in an unreadable form, which only another version, or none at all, would write. */
    fun corrupt(path: String) {
        revision++
        entries[path] = Entry(mapOf("form" to 0L), revision, null)
        changeLog.add(WatchEvent(path, mapOf("form" to 0L), revision))
    }

    /** Inserts an unreadable chunk before the others of a page. */
    fun corruptChunk(path: String) {
        val current = entries.getValue(path)
        val value = current.value + ("chunks" to listOf(mapOf("form" to 0L)) + current.value.maps("chunks"))
        revision++
        entries[path] = Entry(value, revision, null)
        changeLog.add(WatchEvent(path, value, revision))
    }

    /** The limits that apply instead of those in the settings; they are reduced without notice to the controllers. */
    var reducedLimits: StoreLimits? = null
    private val limits get() = reducedLimits ?: world.settings.storeLimits

    /** A transaction above the limits in the settings is a fault of the sender, whether or not it would be applied. */
    private fun checkLimits(transaction: StoreTransaction) {
        val limits = world.settings.storeLimits
        if (transaction.writes.size >
            limits.writesPerTransaction
        ) {
            world.rules.addViolation("${transaction.writes.size} changes in a transaction")
        }
        if (transaction.preconditions.size >
            limits.writesPerTransaction * 4
        ) {
            world.rules.addViolation("${transaction.preconditions.size} conditions in a transaction")
        }
        transaction.writes.filterIsInstance<Write.Put>().forEach {
            val size = BodyCodec.jsonSize(StoreMessages.stored(it.value, transaction.id))
            if (size > limits.valueBytes) world.rules.addViolation("${it.path} holds $size bytes")
        }
    }

    private fun isTooLarge(transaction: StoreTransaction) = transaction.writes.size > limits.writesPerTransaction ||
        transaction.preconditions.size > limits.maxPreconditions ||
        transaction.writes.any { it is Write.Put && it.storedSize(transaction.id) > limits.valueBytes }

    fun commit(transaction: StoreTransaction): CommitReply {
        expire()
        checkLimits(transaction)
        world.rolloutRules.checkSent(transaction)
        if (isTooLarge(transaction)) return CommitReply.Malformed("transaction exceeds the store limits")
        val failed = transaction.preconditions.filter {
            (entries[it.path]?.version ?: 0L) != it.version
        }.mapTo(HashSet()) { it.path }
        if (transaction.writes.any {
                it is Write.Put && it.lease != null && it.lease !in leases
            }
        ) {
            return CommitReply.Malformed("no such lease")
        }
        if (failed.isNotEmpty()) return CommitReply.PreconditionFailed(failed)
        revision++
        writeCount += transaction.writes.size
        for (write in transaction.writes) {
            when (write) {
                is Write.Put -> put(write, transaction.id)
                is Write.Delete -> remove(write.path)
            }
        }
        checkMachinesMoved(transaction.writes)
        compactLog()
        return CommitReply.Applied(revision)
    }

    /** The attempts that each stored page places, with their machines. */
    private val placementsByPage = HashMap<String, Set<Triple<TaskId, Long, String>>>()

    /** Whether a stored page places the attempt on the machine. */
    fun isPlaced(id: TaskId, attempt: Long, machineName: String): Boolean = placementsByPage.values.any {
        Triple(id, attempt, machineName) in
            it
    }

    private fun recordPlacements(path: String, value: Fields) {
        if (!path.startsWith("page/")) return
        placementsByPage[path] = PageFormat.chunksOf(value) { throw it }
            .flatMapTo(HashSet()) { chunk ->
                chunk.placements.map { Triple(TaskId(chunk.jobId, it.task), it.attempt, it.machineName) }
            }
    }

    /** Machines that a test has put into the records of two shards, until only one of them lists the machine. */
    private val duplicatedMachines = HashSet<String>()

    /** The shards whose records list the machine. */
    fun shardsListing(machineName: String): List<Int> = entries.tailMap(Keys.MACHINES).entries
        .takeWhile { it.key.startsWith(Keys.MACHINES) }
        .filter { "form" !in it.value.value && MachineListPart.parse(it.value.value).contains(machineName) }
        .map { it.key.removePrefix(Keys.MACHINES).substringBefore('/').toInt() }
        .distinct()

    /** Adds a machine of another shard to the first record of [shard] too, as an earlier version sometimes did. */
    fun duplicateMachineRecord(machineName: String, shard: Int) {
        val from = entries.filterKeys { it.startsWith(Keys.MACHINES) }.values
            .firstNotNullOfOrNull { entry ->
                MachineListPart.parse(entry.value).records.firstOrNull { it.name == machineName }
            } ?: return
        val path = Keys.machineList(shard, 0)
        val current = entries[path]?.let { MachineListPart.parse(it.value) } ?: MachineListPart.EMPTY
        if (current.contains(machineName)) return
        duplicatedMachines.add(machineName)
        replace(path, current.copy(records = current.records + from).toFields())
    }

    /** Changes the stored pages so that they place the tasks of the job on [machineName]. */
    fun movePlacements(jobId: String, machineName: String) {
        entries.keys.filter { it.startsWith("page/") }.toList().forEach { path ->
            val value = entries.getValue(path).value
            if ("chunks" !in value) return@forEach
            val chunks = value.maps("chunks").map { if (it["job"] == jobId) onMachine(it, machineName) else it }
            replace(path, value + ("chunks" to chunks))
            recordPlacements(path, value + ("chunks" to chunks))
        }
    }

    private fun onMachine(chunk: Fields, machineName: String): Fields =
        chunk + ("on" to (chunk["on"] as List<*>).map { if (it is String) machineName else it })

    private fun replace(path: String, value: Fields) {
        revision++
        val stored = BodyCodec.readCbor(BodyCodec.writeCbor(value))
        entries[path] = Entry(stored, revision, null)
        changeLog.add(WatchEvent(path, stored, revision))
    }

    /** Checked once all [writes] of a transaction are applied: nobody sees a state between them. */
    private fun checkMachinesMoved(writes: List<Write>) {
        duplicatedMachines.removeIf { shardsListing(it).size < 2 }
        val machineLists = writes.filter { it is Write.Put && it.path.startsWith(Keys.MACHINES) }
        machineLists.forEach { checkMachinesMoved(it.path, entries.getValue(it.path).value) }
    }

    /**
     * A machine that is added to a shard must not be in the records of another shard, nor be named by a page of one:
     * that shard's next owner would return the machine.
     */
    private fun checkMachinesMoved(path: String, value: Fields) {
        val shard = path.removePrefix(Keys.MACHINES).substringBefore('/')
        val machineNames = MachineListPart.parse(value).records.mapTo(HashSet()) { it.name } - duplicatedMachines
        for ((other, entry) in entries.tailMap(Keys.MACHINES).entries.takeWhile { it.key.startsWith(Keys.MACHINES) }) {
            if (other.startsWith("${Keys.MACHINES}$shard/") || "form" in entry.value) continue
            MachineListPart.parse(entry.value).records.filter {
                it.name in machineNames
            }.forEach { world.rules.addViolation("in_two_shards ${it.name}: $path and $other") }
        }
        for ((page, attempts) in placementsByPage) {
            if (page.startsWith("page/$shard/")) continue
            val pageShard = page.removePrefix("page/").substringBefore('/').toInt()
            attempts.filter { it.third in machineNames && Keys.liveJob(pageShard, it.first.jobId) in entries }
                .forEach {
                    world.rules.addViolation(
                        "moved_while_placed ${it.third} to shard $shard, ${it.first} of shard $pageShard",
                    )
                }
        }
    }

    private fun put(write: Write.Put, transactionId: String) {
        // The value is encoded and decoded, as it would be by the real store.
        val value = BodyCodec.readCbor(BodyCodec.writeCbor(StoreMessages.stored(write.value, transactionId)))
        entries[write.path] = Entry(value, revision, write.lease)
        recordPlacements(write.path, value)
        putsByKind.merge(write.path.substringBefore('/'), 1, Int::plus)
        world.rolloutRules.checkStored(write.path, value)
        changeLog.add(WatchEvent(write.path, value, revision))
    }

    private fun remove(path: String) {
        if (entries.remove(path) != null) changeLog.add(WatchEvent(path, null, revision))
    }

    fun grantLease(lifeMs: Long): Long {
        leases[++leaseCount] = world.now() + lifeMs
        return leaseCount
    }

    fun extendLease(lease: Long, lifeMs: Long): Boolean {
        expire()
        return leases.computeIfPresent(lease) { _, _ -> world.now() + lifeMs } != null
    }

    private fun expire() {
        if (!up) return
        val expired = leases.filterValues { it < world.now() }.keys.toList()
        for (lease in expired) {
            leases.remove(lease)
            val paths = entries.filterValues { it.lease == lease }.keys.toList()
            if (paths.isNotEmpty()) revision++
            paths.forEach { remove(it) }
        }
    }

    private companion object {
        const val LEASE_AFTER_OUTAGE_MS = 4_000L
    }
}
