package io.reedmast.wire

import java.math.BigDecimal
import java.math.BigInteger

/** A message body: a map with text keys, as read from CBOR or from the JSON settings file. */
typealias Fields = Map<String, Any?>

// Field access with the checks that every message needs. A null field counts as omitted. Each function throws a
// MalformedException that names the field if the field has the wrong type, or is omitted and not optional.

/** The text under [name]. */
fun Fields.text(name: String): String = this[name] as? String ?: throw missingOrWrongType("text", name)

/** The text under [name]; null if it is omitted. */
fun Fields.optionalText(name: String): String? = if (this[name] == null) null else text(name)

/** The boolean under [name]. */
fun Fields.flag(name: String): Boolean = this[name] as? Boolean ?: throw missingOrWrongType("a boolean", name)

/** The boolean under [name]; false if it is omitted. */
fun Fields.optionalFlag(name: String): Boolean = this[name] != null && flag(name)

/** A finite decimal of at least 0. Integers are read as decimals too. */
fun Fields.amount(name: String): Double {
    val value =
        when (val raw = this[name]) {
            is Double -> raw
            is Long -> raw.toDouble()
            is BigInteger -> raw.toDouble()
            is BigDecimal -> raw.toDouble()
            else -> throw missingOrWrongType("a number", name)
        }
    if (!value.isFinite() || value < 0.0) throw MalformedException("$name is out of range")
    return value
}

/** A finite decimal of at least 0; null if it is omitted. */
fun Fields.optionalAmount(name: String): Double? = if (this[name] == null) null else amount(name)

/** An integer of at least 0. Tokens of 2^63 or more are refused: no controller ever allocates one. */
fun Fields.count(name: String): Long {
    val value =
        when (val raw = this[name]) {
            is Long -> raw
            is Int -> raw.toLong()
            else -> throw missingOrWrongType("an integer in range", name)
        }
    if (value < 0) throw MalformedException("$name is negative")
    return value
}

/** An integer of at least 0; null if it is omitted. */
fun Fields.optionalCount(name: String): Long? = if (this[name] == null) null else count(name)

/** The exception for the field [name], which is missing or is not [kind]. */
internal fun Fields.missingOrWrongType(kind: String, name: String) =
    MalformedException(if (this[name] == null) "$name is missing" else "$name is not $kind")
