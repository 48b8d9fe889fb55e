package io.reedmast.wire

/** The bodies that the store is sent, and the form of the values in it. */
object StoreMessages {
    /** The field of a stored value that names the transaction which stored it. */
    private const val TRANSACTION = "txn"

    /** The condition that a key has this version; 0: that it does not exist. */
    fun precondition(key: String, version: Long): Fields = mapOf("path" to key, "stamp" to version)

    /** A write that stores [value]; the key is deleted when [lease] ends, if there is one. */
    fun put(key: String, value: Fields, lease: Long?, transactionId: String): Fields {
        val fields = mapOf("put" to key, "v" to stored(value, transactionId))
        return if (lease == null) fields else fields + ("holding" to lease)
    }

    /** A write that deletes a key. */
    fun delete(key: String): Fields = mapOf("delete" to key)

    /** The request to make all [writes] if all [conditions] hold, or none. */
    fun transaction(conditions: List<Fields>, writes: List<Fields>): Fields =
        mapOf("when" to conditions, "writes" to writes)

    /** The request for a lease that lasts [lifeMs] milliseconds. */
    fun leaseRequest(lifeMs: Long): Fields = mapOf("lifeMs" to lifeMs)

    /** [value] as the transaction stores it. */
    fun stored(value: Fields, transactionId: String): Fields = value + (TRANSACTION to transactionId)

    /** The transaction that stored [value]; null if it names none. */
    fun transactionId(value: Fields): String? = value[TRANSACTION] as? String

    /** [value] as its writer made it. */
    fun withoutTransactionId(value: Fields): Fields = value - TRANSACTION
}
