package io.reedmast.wire

/** Bodies of requests to the store, and the form of stored values. */
object StoreMessages {
    /** The field of a stored value that holds the id of the transaction that stored it. */
    private const val TRANSACTION = "txn"

    /** The condition that [key] has this [version]; 0: that the key does not exist. */
    fun precondition(key: String, version: Long): Fields = mapOf("path" to key, "stamp" to version)

    /** A write that stores [value]; if a [lease] is given, the key is deleted when the lease ends. */
    fun put(key: String, value: Fields, lease: Long?, transactionId: String): Fields {
        val fields = mapOf("put" to key, "v" to stored(value, transactionId))
        return if (lease == null) fields else fields + ("holding" to lease)
    }

    /** A write that deletes a key. */
    fun delete(key: String): Fields = mapOf("delete" to key)

    /** The request to execute all [writes] if all [conditions] hold, and otherwise none. */
    fun transaction(conditions: List<Fields>, writes: List<Fields>): Fields =
        mapOf("when" to conditions, "writes" to writes)

    /** The request for a lease that lasts [lifeMs] milliseconds. */
    fun leaseRequest(lifeMs: Long): Fields = mapOf("lifeMs" to lifeMs)

    /** [value] as it is stored: with the id of the transaction. */
    fun stored(value: Fields, transactionId: String): Fields = value + (TRANSACTION to transactionId)

    /** The id of the transaction that stored [value]; null if the value contains none. */
    fun transactionId(value: Fields): String? = value[TRANSACTION] as? String

    /** [value] as it was before [stored] added the transaction id. */
    fun withoutTransactionId(value: Fields): Fields = value - TRANSACTION
}
