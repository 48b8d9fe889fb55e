package io.reedmast.cluster

import io.reedmast.persistence.DensePages
import io.reedmast.rollout.Feature
import io.reedmast.rollout.FeatureName
import io.reedmast.rollout.FeatureRegistry
import io.reedmast.rollout.FormatVersion
import io.reedmast.rollout.VersionRange

/** The features of this software version, and the versions of the record formats that it reads and writes. */
object ClusterFeatures {
    /**
     * Records are split to fit the reduced store limits. The feature's gate is stored under `c/format`, since it is
     * older than the rollout record.
     */
    val DIVIDED_RECORDS = FeatureName("divided-records")

    /**
     * The token counter is stored in a form that versions older than the rollout record cannot read, so that they
     * cannot acquire any shard.
     */
    val FENCED_TOKENS = FeatureName("fenced-tokens")

    private const val DENSE_PAGES_VERSION = 3
    private val OLDEST = FormatVersion.NONE
    private val WITH_DIVIDED_RECORDS = FormatVersion(1)
    private val WITH_ROLLOUT = FormatVersion(2)
    private val WITH_DENSE_PAGES = FormatVersion(DENSE_PAGES_VERSION)

    /** See [DIVIDED_RECORDS]. */
    val dividedRecords = Feature(DIVIDED_RECORDS, WITH_DIVIDED_RECORDS, revertible = false)

    /** See [FENCED_TOKENS]. */
    val fencedTokens = Feature(FENCED_TOKENS, WITH_ROLLOUT, setOf(DIVIDED_RECORDS), migration = TokenCounter)

    /** See [DensePages]. */
    val densePages = Feature(DensePages.FEATURE, WITH_DENSE_PAGES, setOf(FENCED_TOKENS), migration = DensePages)

    /**
     * All features, in the order in which they can be enabled, and the range of format versions that this process
     * reads.
     */
    val registry =
        FeatureRegistry(listOf(dividedRecords, fencedTokens, densePages), VersionRange(OLDEST, WITH_DENSE_PAGES))
}
