package io.reedmast.model

/**
 * Fencing tokens of shards' owners. Each acquisition of a shard gets a range of tokens above all ranges given before.
 *
 * The owner sends its commands under the first token of its range. To invalidate delayed copies of its own earlier
 * commands to a worker, it raises the token for that worker within the range. This needs no write to the store and does
 * not change the term.
 */
object FencingToken {
    private const val RANGE_SIZE = 1L shl 20

    /** The first token of the range after the one that contains [token]. */
    fun firstOfNextRange(token: Long): Long = (acquisitionCount(token) + 1) * RANGE_SIZE

    /** The last token of the range that begins with [first]. */
    fun lastOfRange(first: Long): Long = first + RANGE_SIZE - 1

    /**
     * How many ranges have been given out, up to and including that of [token]. Records of an earlier format hold the
     * plain number of acquisitions instead of a token; such numbers are below the size of a range.
     */
    fun acquisitionCount(token: Long): Long = if (token < RANGE_SIZE) token else token / RANGE_SIZE
}
