package io.reedmast.persistence

import io.reedmast.wire.MalformedException

/**
 * Returns the value, or throws [MalformedException] with [message] if it is null because it is missing or of another
 * type.
 */
internal fun <T : Any> T?.orMalformed(message: String): T = this ?: throw MalformedException(message)

/**
 * Decodes each stored chunk with [parse]. A malformed chunk is reported to [onMalformed] and skipped; the others are
 * still decoded.
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
