package io.reedmast.autoscaling

/**
 * Decides with which kind of demand a summary begins that cannot hold all kinds: with the first one that the summary
 * before it left out. So each kind is shown to the leader in turn, even if none of the others can be met.
 */
internal class DemandRotation {
    private var firstKind: DemandKind? = null

    /** The [demands], the most urgent first unless some were left out of the last summary. */
    fun rotate(demands: List<Demand>): List<Demand> {
        val first = demands.indexOfFirst { it.kind == firstKind }
        return if (first <= 0) demands else demands.drop(first) + demands.take(first)
    }

    /** Records that a summary holds the first [includedCount] of the demands that [rotate] returned. */
    fun recordIncluded(rotated: List<Demand>, includedCount: Int) {
        firstKind = rotated.getOrNull(includedCount)?.kind
    }
}
