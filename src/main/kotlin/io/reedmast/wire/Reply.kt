package io.reedmast.wire

/** The outcome of an HTTP call. */
sealed interface Reply {
    /** An answer was read; [body] is empty if the answer has none. */
    data class Answer(val status: Int, val body: Fields) : Reply

    /** No connection was made, so the request cannot have been executed and never will be. */
    data class NotSent(val reason: String) : Reply

    /** There is an answer, but it is larger than this side reads. */
    data object TooLarge : Reply

    /** No well-formed answer was read: the request may have been executed, or may still be executed. */
    data class Unanswered(val reason: String) : Reply
}
