package io.reedmast.ports

/** The result of reading a list of [T] from the [Cloud]. */
sealed interface CloudListing<out T> {
    /** The whole list. */
    data class Complete<T>(val items: List<T>) : CloudListing<T>

    /** The list could not be read, or only a part of it; the call may be repeated. */
    data object Unavailable : CloudListing<Nothing>
}
