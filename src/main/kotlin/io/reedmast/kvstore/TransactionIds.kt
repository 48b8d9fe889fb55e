package io.reedmast.kvstore

/**
 * Generates transaction ids that are unique among the transactions of all processes. Thread-safe.
 *
 * @param incarnation a text that identifies this process; no other process, running or earlier, has the same.
 */
class TransactionIds(private val incarnation: String) {
    private var lastNumber = 0L

    /** A new id. */
    @Synchronized
    fun next(): String = "$incarnation-${++lastNumber}"
}
