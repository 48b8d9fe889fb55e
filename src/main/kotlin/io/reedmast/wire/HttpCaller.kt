package io.reedmast.wire

import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI

/**
 * Calls other processes over HTTP with CBOR bodies. Calls block. Connections are kept open and reused while [keepAlive]
 * returns true. Thread-safe.
 *
 * @param connectTimeoutMs how long to wait for a connection.
 * @param readTimeoutMs how long to wait for bytes of an answer, unless a call gives its own time.
 */
class HttpCaller(
    private val connectTimeoutMs: Int,
    val readTimeoutMs: Int,
    private val keepAlive: () -> Boolean = { true },
) {
    /**
     * Sends one request and waits for its answer.
     *
     * @param address host and port, such as `10.0.0.1:8080`.
     * @param path the path with its query, encoded.
     */
    fun call(
        method: String,
        address: String,
        path: String,
        body: Fields? = null,
        readTimeoutMs: Int = this.readTimeoutMs,
    ): Reply {
        val connection = URI.create("http://$address$path").toURL().openConnection() as HttpURLConnection
        return try {
            connection.requestMethod = method
            connection.readTimeout = readTimeoutMs
            exchange(connection, requestBytes(method, body))
        } catch (e: IOException) {
            connection.disconnect()
            Reply.Unanswered(e.toString())
        } catch (e: MalformedException) {
            Reply.Unanswered("malformed answer: ${e.message}")
        }
    }

    /** A POST without a body still sends a content length, of 0. */
    private fun requestBytes(method: String, body: Fields?): ByteArray? = when {
        body != null -> BodyCodec.writeCbor(body)
        method == "POST" -> NO_BYTES
        else -> null
    }

    private fun exchange(connection: HttpURLConnection, requestBytes: ByteArray?): Reply {
        configure(connection)
        if (requestBytes != null) setBodyHeaders(connection, requestBytes.size)
        try {
            connection.connect()
        } catch (e: IOException) {
            return Reply.NotSent(e.toString())
        }
        if (requestBytes != null) connection.outputStream.use { it.write(requestBytes) }
        return readReply(connection)
    }

    private fun configure(connection: HttpURLConnection) {
        connection.connectTimeout = connectTimeoutMs
        connection.instanceFollowRedirects = false
        connection.useCaches = false
        if (!keepAlive()) connection.setRequestProperty("Connection", "close")
    }

    private fun setBodyHeaders(connection: HttpURLConnection, size: Int) {
        connection.doOutput = true
        connection.setRequestProperty("Content-Type", "application/cbor")
        // A fixed length also prevents HttpURLConnection from resending a failed POST by itself.
        connection.setFixedLengthStreamingMode(size)
    }

    private fun readReply(connection: HttpURLConnection): Reply {
        val status = connection.responseCode
        val stream = if (status >= HttpStatus.BAD_REQUEST) connection.errorStream else connection.inputStream
        val bytes = stream?.use { it.readNBytes(MAX_ANSWER_BYTES) } ?: NO_BYTES
        if (bytes.size == MAX_ANSWER_BYTES) {
            connection.disconnect()
            return Reply.TooLarge
        }
        return Reply.Answer(status, if (bytes.isEmpty()) emptyMap() else BodyCodec.readCbor(bytes))
    }

    private companion object {
        val NO_BYTES = ByteArray(0)
        const val MAX_ANSWER_BYTES = 8 * 1024 * 1024
    }
}
