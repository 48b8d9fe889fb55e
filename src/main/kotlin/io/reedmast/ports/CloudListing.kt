package io.reedmast.ports

/** What came of reading a list of [T] from the [Cloud]. */
sealed interface CloudListing<out T> {
    /** The whole list. */
    data class Complete<T>(val items: List<T>) : CloudListing<T>

    /** It could not be read, or only a part of it; it may be asked for again. */
    data object Unavailable : CloudListing<Nothing>
}
