package io.reedmast.kvstore

/** What came of reading all keys with a prefix. */
sealed interface ListResult {
    /**
     * All [items], which were read page by page; [revision] is that of the first page, so that a watch from there on
     * misses nothing.
     */
    data class Listing(val items: List<StoredItem>, val revision: Long) : ListResult

    /** Nothing is known: the store did not answer each page, or refused to. */
    data object Failed : ListResult
}
