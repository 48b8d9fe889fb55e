package io.reedmast.model

/**
 * Fencing tokens of shards' owners. Each acquisition of a shard gets a range of them, above every range given before.
 *
 * The owner commands under the first one. It moves on within its range, for one worker at a time, where copies of its
 * own earlier commands must become void: no record is written for that, and no term moves.
 */
object FencingToken {
    private const val RANGE = 1L shl 20

    /** The first token of the range after the one that [token] belongs to. */
    fun firstOfNextRange(token: Long): Long = (acquisitionCount(token) + 1) * RANGE

    /** The last one of the range that begins with [first]. */
    fun lastOfRange(first: Long): Long = first + RANGE - 1

    /**
     * How many ranges were given up to this one. Records of an earlier form counted acquisitions alone, below a range's
     * size.
     */
    fun acquisitionCount(token: Long): Long = if (token < RANGE) token else token / RANGE
}
