package io.reedmast.persistence

import io.reedmast.wire.MalformedException

/** The value itself, or a [MalformedException] with [message] if it is null: missing, or of another type. */
internal fun <T : Any> T?.orMalformed(message: String): T = this ?: throw MalformedException(message)

/**
 * Parses each stored chunk. One that is malformed is reported to [onMalformed] and left out, and the others are read
 * all the same.
 */
internal fun <T> List<T>.parseChunks(
    onMalformed: (MalformedException) -> Unit,
    parse: (T) -> StoredChunk,
): List<StoredChunk> = mapNotNull { stored ->
    try {
        parse(stored)
    } catch (e: MalformedException) {
        onMalformed(e)
        null
    }
}
