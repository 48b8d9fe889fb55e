package io.reedmast.wire

/** Bodies of the store's answers; each function throws [MalformedException] if the part that it reads is not valid. */
object StoreReplies {
    /** The id of a new lease. */
    fun leaseId(body: Fields): Long = body.count("holding")

    /** The revision of the store that the answer describes. */
    fun revision(body: Fields): Long = body.count("epoch")

    /** The keys whose conditions did not hold. */
    fun failedKeys(body: Fields): Set<String> = body.optionalTexts("failed").orEmpty().toSet()

    /** The reason why a request was refused. */
    fun error(body: Fields): String = body["error"].toString()

    /** A single key with its value. */
    fun item(body: Fields): KeyedValue = KeyedValue(body.text("path"), body.map("v"), body.count("stamp"))

    /** One page of a listing. */
    fun page(body: Fields): List<KeyedValue> = body.maps("pairs").map { item(it) }

    /** Whether another page of the listing follows. */
    fun hasMore(body: Fields): Boolean = body.flag("more")

    /** The changes that a watch has observed. */
    fun changes(body: Fields): List<KeyedValue> = (body["log"] as? List<*>).orEmpty().map { change(asFields(it)) }

    private fun change(fields: Fields): KeyedValue = if (fields["put"] != null) {
        KeyedValue(fields.text("put"), fields.map("v"), fields.count("stamp"))
    } else {
        KeyedValue(fields.text("delete"), null, fields.count("stamp"))
    }
}
