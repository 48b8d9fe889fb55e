package io.reedmast.wire

/** A key of the store as a message tells of it; a null [value] is a deletion. */
data class KeyedValue(val key: String, val value: Fields?, val version: Long)

/** The bodies that the store takes and gives. */
object StoreMessages {
    fun condition(key: String, version: Long): Fields = mapOf("path" to key, "stamp" to version)

    /** The field of a stored value that names the transaction which stored it. */
    private const val TRANSACTION = "txn"

    fun put(key: String, value: Fields, lease: Long?, transactionId: String): Fields {
        val fields = mapOf("put" to key, "v" to stored(value, transactionId))
        return if (lease == null) fields else fields + ("holding" to lease)
    }

    /** [value] as the transaction stores it. */
    fun stored(value: Fields, transactionId: String): Fields = value + (TRANSACTION to transactionId)

    /** The transaction that stored [value]; null if it names none. */
    fun transactionId(value: Fields): String? = value[TRANSACTION] as? String

    /** [value] as its writer made it. */
    fun withoutTransactionId(value: Fields): Fields = value - TRANSACTION

    fun delete(key: String): Fields = mapOf("delete" to key)

    fun transaction(conditions: List<Fields>, writes: List<Fields>): Fields = mapOf(
        "when" to conditions,
        "writes" to writes,
    )

    fun leaseRequest(lifeMs: Long): Fields = mapOf("lifeMs" to lifeMs)

    fun lease(body: Fields): Long = body.count("holding")

    fun revision(body: Fields): Long = body.count("epoch")

    /** The keys whose conditions did not hold. */
    fun failedKeys(body: Fields): Set<String> = body.optionalTexts("failed").orEmpty().toSet()

    fun error(body: Fields): String = body["error"].toString()

    fun item(body: Fields) = KeyedValue(body.text("path"), body.map("v"), body.count("stamp"))

    /** One page of a listing. */
    fun page(body: Fields): List<KeyedValue> = body.maps("pairs").map { item(it) }

    fun hasMore(body: Fields): Boolean = body.flag("more")

    /** The changes that a watch tells. */
    fun changes(body: Fields): List<KeyedValue> = (body["log"] as? List<*>).orEmpty().map { change(asFields(it)) }

    private fun change(fields: Fields): KeyedValue = if (fields["put"] != null) {
        KeyedValue(fields.text("put"), fields.map("v"), fields.count("stamp"))
    } else {
        KeyedValue(fields.text("delete"), null, fields.count("stamp"))
    }
}
