package io.reedmast.kvstore

/** The result of reading one key. */
sealed interface ReadResult {
    /** The key exists. */
    data class Found(val item: StoredItem) : ReadResult

    /** The key does not exist. */
    data object Missing : ReadResult

    /** Nothing is known: the store did not answer, or refused the request. */
    data object Failed : ReadResult
}
