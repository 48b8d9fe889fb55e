package io.reedmast.wire

/**
 * The answer to a user: a job's status, or the reason why there is none.
 *
 * @property status the HTTP status.
 * @property retryAfterS the number of seconds after which to ask again; null: the user decides.
 */
data class UserAnswer(
    val status: Int,
    val job: JobStatus? = null,
    val error: String? = null,
    val retryAfterS: Int? = null,
) {
    /** The body of the answer. */
    fun toFields(): Fields = job?.toFields() ?: mapOf("error" to error)
}
