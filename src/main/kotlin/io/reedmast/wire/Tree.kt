package io.reedmast.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigDecimal
import java.math.BigInteger

/** Something on the wire, or in the store, that does not have the form it should have. */
class MalformedException(message: String) : Exception(message)

/** A message body: a map keyed by text, as it comes from CBOR or from the JSON settings file. */
typealias Fields = Map<String, Any?>

/**
 * Reads and writes message bodies as plain maps, lists, texts, numbers and booleans.
 *
 * Only Jackson's streaming layer is used. Binding to classes would load several hundred classes at start, and a
 * controller's start-up time is part of every failover.
 */
object Tree {
    private const val MAX_DEPTH = 16
    private val cbor: CBORFactory = CBORFactory()
    private val json: JsonFactory = JsonFactory()

    fun readCbor(body: ByteArray): Fields = readRoot { cbor.createParser(body) }

    fun readJson(body: ByteArray): Fields = readRoot { json.createParser(body) }

    private inline fun readRoot(open: () -> JsonParser): Fields = try {
        open().use { parser ->
            if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedException("the body is not a map")
            val root = readMap(parser, 0)
            if (parser.nextToken() != null) throw MalformedException("bytes follow the body")
            root
        }
    } catch (e: JsonProcessingException) {
        throw MalformedException("the body cannot be read: ${e.originalMessage}")
    } catch (e: IOException) {
        throw MalformedException("the body cannot be read: ${e.message}")
    } catch (e: ArithmeticException) {
        throw MalformedException("a number cannot be read: ${e.message}")
    }

    private fun readMap(parser: JsonParser, depth: Int): Fields {
        if (depth > MAX_DEPTH) throw MalformedException("nested too deeply")
        val map = LinkedHashMap<String, Any?>()
        while (true) {
            val token = parser.nextToken() ?: throw MalformedException("the body ends early")
            if (token == JsonToken.END_OBJECT) return map
            if (token != JsonToken.FIELD_NAME) throw MalformedException("a map key is not text")
            val name = parser.currentName() ?: throw MalformedException("a map key is not text")
            map[name] = readValue(parser, parser.nextToken(), depth + 1)
        }
    }

    private fun readValue(parser: JsonParser, token: JsonToken?, depth: Int): Any? = when (token) {
        JsonToken.START_OBJECT -> {
            readMap(parser, depth)
        }

        JsonToken.START_ARRAY -> {
            if (depth > MAX_DEPTH) throw MalformedException("nested too deeply")
            val list = ArrayList<Any?>()
            while (true) {
                val next = parser.nextToken() ?: throw MalformedException("the body ends early")
                if (next == JsonToken.END_ARRAY) break
                list.add(readValue(parser, next, depth + 1))
            }
            list
        }

        JsonToken.VALUE_STRING -> {
            parser.text
        }

        JsonToken.VALUE_NUMBER_INT -> {
            val number = parser.numberValue
            if (number is BigInteger) number else number.toLong()
        }

        JsonToken.VALUE_NUMBER_FLOAT -> {
            parser.doubleValue
        }

        JsonToken.VALUE_TRUE -> {
            true
        }

        JsonToken.VALUE_FALSE -> {
            false
        }

        JsonToken.VALUE_NULL -> {
            null
        }

        else -> {
            throw MalformedException("a value of a kind that is not used here")
        }
    }

    fun writeCbor(fields: Fields): ByteArray {
        val out = ByteArrayOutputStream(256)
        cbor.createGenerator(out).use { writeValue(it, fields) }
        return out.toByteArray()
    }

    /** The size that the store counts a value by: its length as JSON. */
    fun jsonSize(value: Fields): Int = json(value).size()

    fun writeJson(fields: Fields): ByteArray = json(fields).toByteArray()

    private fun json(fields: Fields): ByteArrayOutputStream {
        val out = ByteArrayOutputStream(256)
        json.createGenerator(out).use { writeValue(it, fields) }
        return out
    }

    private fun writeValue(out: JsonGenerator, value: Any?) {
        when (value) {
            null -> {
                out.writeNull()
            }

            is Map<*, *> -> {
                out.writeStartObject(value, value.size)
                for ((key, item) in value) {
                    out.writeFieldName(key.toString())
                    writeValue(out, item)
                }
                out.writeEndObject()
            }

            is Collection<*> -> {
                out.writeStartArray(value, value.size)
                for (item in value) writeValue(out, item)
                out.writeEndArray()
            }

            is String -> out.writeString(value)
            is Boolean -> out.writeBoolean(value)
            is Int -> out.writeNumber(value)
            is Long -> out.writeNumber(value)
            is BigInteger -> out.writeNumber(value)
            is Double -> out.writeNumber(value)
            else -> throw IllegalArgumentException("cannot write a ${value::class.simpleName}")
        }
    }
}

/** Field access with the checks that every message needs. A null field counts as omitted. */
fun Fields.text(name: String): String = this[name] as? String
    ?: throw MalformedException(if (this[name] == null) "$name is missing" else "$name is not text")

fun Fields.optionalText(name: String): String? = if (this[name] == null) null else text(name)

fun Fields.flag(name: String): Boolean = this[name] as? Boolean
    ?: throw MalformedException(if (this[name] == null) "$name is missing" else "$name is not a boolean")

fun Fields.optionalFlag(name: String): Boolean = this[name] != null && flag(name)

/** A finite decimal of at least 0. Integers are read as decimals too. */
fun Fields.amount(name: String): Double {
    val value =
        when (val raw = this[name]) {
            null -> throw MalformedException("$name is missing")
            is Double -> raw
            is Long -> raw.toDouble()
            is BigInteger -> raw.toDouble()
            is BigDecimal -> raw.toDouble()
            else -> throw MalformedException("$name is not a number")
        }
    if (!value.isFinite() || value < 0.0) throw MalformedException("$name is out of range")
    return value
}

fun Fields.optionalAmount(name: String): Double? = if (this[name] == null) null else amount(name)

/** An integer from 0 up. Tokens above 2^63 are refused: nothing of ours ever makes one. */
fun Fields.count(name: String): Long {
    val value =
        when (val raw = this[name]) {
            null -> throw MalformedException("$name is missing")
            is Long -> raw
            is Int -> raw.toLong()
            else -> throw MalformedException("$name is not an integer in range")
        }
    if (value < 0) throw MalformedException("$name is negative")
    return value
}

fun Fields.optionalCount(name: String): Long? = if (this[name] == null) null else count(name)

@Suppress("UNCHECKED_CAST")
fun asFields(value: Any?): Fields = value as? Map<String, Any?> ?: throw MalformedException("a map was expected")

fun Fields.map(name: String): Fields = asFields(this[name] ?: throw MalformedException("$name is missing"))

fun Fields.list(name: String): List<Any?> = this[name] as? List<*>
    ?: throw MalformedException(if (this[name] == null) "$name is missing" else "$name is not a list")

fun Fields.maps(name: String): List<Fields> = list(name).map { asFields(it) }

fun Fields.optionalTexts(name: String): List<String>? = if (this[name] ==
    null
) {
    null
} else {
    list(name).map {
        it as? String
            ?: throw MalformedException("$name holds something that is not text")
    }
}
