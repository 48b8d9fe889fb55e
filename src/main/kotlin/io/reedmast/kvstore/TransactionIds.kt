package io.reedmast.kvstore

/**
 * Gives each transaction of this process an id that no other transaction has, of any process. Thread-safe.
 *
 * @param incarnation a text that no other process has, nor any earlier one.
 */
class TransactionIds(private val incarnation: String) {
    private var lastNumber = 0L

    /** A new id. */
    @Synchronized
    fun next(): String = "$incarnation-${++lastNumber}"
}
