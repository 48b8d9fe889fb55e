package io.reedmast.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.math.BigInteger

/**
 * Reads and writes message bodies as plain maps, lists, strings, numbers and booleans.
 *
 * Only Jackson's streaming layer is used. Binding to classes would load several hundred classes at start, and a
 * controller's start-up time is part of every failover.
 */
object BodyCodec {
    private const val MAX_DEPTH = 16
    private const val INITIAL_BUFFER_BYTES = 256
    private val cbor: CBORFactory = CBORFactory()
    private val json: JsonFactory = JsonFactory()

    /** Reads a body of one CBOR map; throws [MalformedException] if it is anything else. */
    fun readCbor(body: ByteArray): Fields = readRoot { cbor.createParser(body) }

    /** Reads a body of one JSON map; throws [MalformedException] if it is anything else. */
    fun readJson(body: ByteArray): Fields = readRoot { json.createParser(body) }

    private inline fun readRoot(open: () -> JsonParser): Fields = try {
        open().use { parser ->
            if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedException("the body is not a map")
            val root = readMap(parser, 0)
            if (parser.nextToken() != null) throw MalformedException("bytes follow the body")
            root
        }
    } catch (e: JsonProcessingException) {
        throw MalformedException("the body cannot be read: ${e.originalMessage}", e)
    } catch (e: IOException) {
        throw MalformedException("the body cannot be read: ${e.message}", e)
    } catch (e: ArithmeticException) {
        throw MalformedException("a number cannot be read: ${e.message}", e)
    }

    private fun readMap(parser: JsonParser, depth: Int): Fields {
        if (depth > MAX_DEPTH) throw MalformedException("nested too deeply")
        val map = LinkedHashMap<String, Any?>()
        var token = nextToken(parser)
        while (token != JsonToken.END_OBJECT) {
            val name = if (token == JsonToken.FIELD_NAME) parser.currentName() else null
            if (name == null) throw MalformedException("a map key is not text")
            map[name] = readValue(parser, parser.nextToken(), depth + 1)
            token = nextToken(parser)
        }
        return map
    }

    private fun readList(parser: JsonParser, depth: Int): List<Any?> {
        if (depth > MAX_DEPTH) throw MalformedException("nested too deeply")
        val list = ArrayList<Any?>()
        var token = nextToken(parser)
        while (token != JsonToken.END_ARRAY) {
            list.add(readValue(parser, token, depth + 1))
            token = nextToken(parser)
        }
        return list
    }

    private fun nextToken(parser: JsonParser): JsonToken =
        parser.nextToken() ?: throw MalformedException("the body ends early")

    private fun readValue(parser: JsonParser, token: JsonToken?, depth: Int): Any? = when (token) {
        JsonToken.START_OBJECT -> readMap(parser, depth)
        JsonToken.START_ARRAY -> readList(parser, depth)
        JsonToken.VALUE_STRING -> parser.text
        JsonToken.VALUE_NUMBER_INT -> readInteger(parser)
        JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
        JsonToken.VALUE_TRUE -> true
        JsonToken.VALUE_FALSE -> false
        JsonToken.VALUE_NULL -> null
        else -> throw MalformedException("a value of a kind that is not used here")
    }

    /** A Long, or a BigInteger if the number does not fit in a Long. */
    private fun readInteger(parser: JsonParser): Number {
        val number = parser.numberValue
        return if (number is BigInteger) number else number.toLong()
    }

    /** [fields] as CBOR. */
    fun writeCbor(fields: Fields): ByteArray {
        val output = ByteArrayOutputStream(INITIAL_BUFFER_BYTES)
        cbor.createGenerator(output).use { writeValue(it, fields) }
        return output.toByteArray()
    }

    /** [fields] as JSON. */
    fun writeJson(fields: Fields): ByteArray = jsonOf(fields).toByteArray()

    /** The size of a value as the store counts it: its length as JSON, in bytes. */
    fun jsonSize(value: Fields): Int = jsonOf(value).size()

    private fun jsonOf(fields: Fields): ByteArrayOutputStream {
        val output = ByteArrayOutputStream(INITIAL_BUFFER_BYTES)
        json.createGenerator(output).use { writeValue(it, fields) }
        return output
    }

    private fun writeValue(generator: JsonGenerator, value: Any?) {
        when (value) {
            null -> generator.writeNull()
            is Map<*, *> -> writeMap(generator, value)
            is Collection<*> -> writeCollection(generator, value)
            is String -> generator.writeString(value)
            is Boolean -> generator.writeBoolean(value)
            is Int -> generator.writeNumber(value)
            is Long -> generator.writeNumber(value)
            is BigInteger -> generator.writeNumber(value)
            is Double -> generator.writeNumber(value)
            else -> throw IllegalArgumentException("cannot write a ${value::class.simpleName}")
        }
    }

    private fun writeMap(generator: JsonGenerator, map: Map<*, *>) {
        generator.writeStartObject(map, map.size)
        for ((key, value) in map) {
            generator.writeFieldName(key.toString())
            writeValue(generator, value)
        }
        generator.writeEndObject()
    }

    private fun writeCollection(generator: JsonGenerator, collection: Collection<*>) {
        generator.writeStartArray(collection, collection.size)
        for (item in collection) writeValue(generator, item)
        generator.writeEndArray()
    }
}
