package io.reedmast.kvstore

/** The result of reading all keys with a prefix. */
sealed interface ListResult {
    /**
     * All [items], which were read page by page; [revision] is that of the first page, so that a watch that starts
     * there misses no change.
     */
    data class Listing(val items: List<StoredItem>, val revision: Long) : ListResult

    /** Nothing is known: the store did not answer the request for some page, or refused it. */
    data object Failed : ListResult
}
