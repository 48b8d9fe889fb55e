package io.reedmast.wire

// Access to fields that hold maps and lists, with the same checks as for single values.

/** [value] as a map; the cast of its keys is safe, since maps read from CBOR or JSON have only text keys. */
@Suppress("UNCHECKED_CAST")
fun asFields(value: Any?): Fields = value as? Map<String, Any?> ?: throw MalformedException("a map was expected")

/** The map under [name]. */
fun Fields.map(name: String): Fields = asFields(this[name] ?: throw MalformedException("$name is missing"))

/** The list under [name]. */
fun Fields.list(name: String): List<Any?> = this[name] as? List<*> ?: throw missingOrWrongType("a list", name)

/** The list of maps under [name]. */
fun Fields.maps(name: String): List<Fields> = list(name).map { asFields(it) }

/** The list of texts under [name]; null if it is omitted. */
fun Fields.optionalTexts(name: String): List<String>? {
    if (this[name] == null) return null
    return list(name).map { it as? String ?: throw MalformedException("$name holds something that is not text") }
}
