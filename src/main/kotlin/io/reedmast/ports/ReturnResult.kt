package io.reedmast.ports

/** What became of a request to return machines to the [Cloud]. */
enum class ReturnResult {
    /** The cloud has answered that the machines, and all that ran on them, are gone. */
    CONFIRMED,

    /** The request was not made, was refused, or its answer was lost: the machines may be gone or not. */
    UNCONFIRMED,
}
