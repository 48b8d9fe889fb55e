package io.reedmast.ports

/** The outcome of a request to return machines to the [Cloud]. */
enum class ReturnResult {
    /** The cloud has answered that the machines, and all that ran on them, are gone. */
    CONFIRMED,

    /** The request was not sent, was refused, or its answer was lost: the machines may or may not be gone. */
    UNCONFIRMED,
}
