package io.reedmast.kvstore

import io.reedmast.settings.StoreLimits
import io.reedmast.wire.BodyCodec

/** Transactions to be sent together: they are within [limits], and their keys do not clash. */
internal class TransactionBatch(private val limits: StoreLimits) {
    /** In the order in which they were added. */
    val transactions = ArrayList<CasTransaction>()
    private var writeCount = 0
    private var bytes = 0
    private val versionsByGuardedPath = HashMap<String, Long>()
    private val writtenPaths = HashSet<String>()

    /** Whether [transaction] can be added: it fits the limits, and its keys do not clash with those of the batch. */
    fun accepts(transaction: CasTransaction): Boolean =
        fitsCounts(transaction) && !clashesWith(transaction) && bytes + sizeOf(transaction) <= MAX_BYTES

    /** Adds [transaction], which the batch must accept unless it is the first. */
    fun add(transaction: CasTransaction) {
        transactions.add(transaction)
        writeCount += transaction.writes.size
        bytes += sizeOf(transaction)
        transaction.preconditions.forEach { versionsByGuardedPath[it.path] = it.version }
        transaction.writes.forEach { writtenPaths.add(it.path) }
    }

    private fun fitsCounts(transaction: CasTransaction): Boolean {
        val newPreconditions = transaction.preconditions.count { it.path !in versionsByGuardedPath }
        return writeCount + transaction.writes.size <= limits.writesPerTransaction &&
            versionsByGuardedPath.size + newPreconditions <= limits.maxPreconditions
    }

    /**
     * Two transactions cannot be sent together if they expect different versions of a key, or if one writes a key that
     * the other writes or has a precondition on.
     */
    private fun clashesWith(transaction: CasTransaction): Boolean = transaction.preconditions.any { disagreesOn(it) } ||
        transaction.preconditions.any { it.path in writtenPaths } ||
        transaction.writes.any { it.path in versionsByGuardedPath }

    private fun disagreesOn(precondition: Precondition): Boolean {
        val version = versionsByGuardedPath[precondition.path] ?: return false
        return version != precondition.version
    }

    private fun sizeOf(transaction: CasTransaction): Int =
        transaction.writes.sumOf { sizeOf(it) } + transaction.preconditions.size * PRECONDITION_BYTES

    private fun sizeOf(write: Write): Int = when (write) {
        is Write.Put -> BodyCodec.jsonSize(write.value) + write.path.length
        is Write.Delete -> write.path.length
    }

    private companion object {
        /** Below the 64 KiB of a request body (PROTOCOL), to leave room for what is encoded around the writes. */
        const val MAX_BYTES = 56 * 1024

        /** The assumed size of a precondition in a request body. */
        const val PRECONDITION_BYTES = 80
    }
}
