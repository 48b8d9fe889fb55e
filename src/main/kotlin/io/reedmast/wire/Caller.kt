package io.reedmast.wire

import java.io.IOException
import java.io.InputStream
import java.net.HttpURLConnection
import java.net.URI

/** What came of a call to another machine. */
sealed interface Reply {
    data class Answer(val status: Int, val body: Fields) : Reply

    /** No connection was made, so the request cannot have been executed and never will be. */
    data class NotSent(val reason: String) : Reply

    /** There is an answer, larger than this side reads. */
    data object TooLarge : Reply

    /** The request may have been executed, or may yet be. */
    data class Unanswered(val reason: String) : Reply
}

/**
 * Calls other machines over HTTP with CBOR bodies; blocking, connections kept open and reused as long as [keepOpen]
 * holds.
 */
class Caller(private val connectMs: Int, private val readMs: Int, private val keepOpen: () -> Boolean = { true }) {
    fun call(method: String, address: String, path: String, body: Fields? = null, scaleInDelayMs: Int = readMs): Reply {
        val connection = URI.create("http://$address$path").toURL().openConnection() as HttpURLConnection
        try {
            connection.requestMethod = method
            connection.connectTimeout = connectMs
            connection.readTimeout = scaleInDelayMs
            connection.instanceFollowRedirects = false
            connection.useCaches = false
            if (!keepOpen()) connection.setRequestProperty("Connection", "close")
            val bytes = if (body != null) {
                Tree.writeCbor(body)
            } else if (method == "POST") {
                NOTHING
            } else {
                null
            }
            if (bytes != null) {
                connection.doOutput = true
                connection.setRequestProperty("Content-Type", "application/cbor")
                // A fixed length also keeps HttpURLConnection from sending a failed POST a second time on its own.
                connection.setFixedLengthStreamingMode(bytes.size)
            }
            try {
                connection.connect()
            } catch (e: IOException) {
                return Reply.NotSent(e.toString())
            }
            if (bytes != null) connection.outputStream.use { it.write(bytes) }
            val status = connection.responseCode
            val stream: InputStream? = if (status >= 400) connection.errorStream else connection.inputStream
            val answer = stream?.use { it.readNBytes(MAX_ANSWER) } ?: NOTHING
            if (answer.size == MAX_ANSWER) {
                connection.disconnect()
                return Reply.TooLarge
            }
            return Reply.Answer(status, if (answer.isEmpty()) emptyMap() else Tree.readCbor(answer))
        } catch (e: IOException) {
            connection.disconnect()
            return Reply.Unanswered(e.toString())
        } catch (e: MalformedException) {
            return Reply.Unanswered("nonsense in the answer: ${e.message}")
        }
    }

    private companion object {
        val NOTHING = ByteArray(0)
        const val MAX_ANSWER = 8 * 1024 * 1024
    }
}
