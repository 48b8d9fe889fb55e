package io.reedmast.rollout

/**
 * What a controller brings to the rollout.
 *
 * @property registry the features of this binary
 * @property desired what its deploy file wishes of each feature; empty without such a file
 */
class RolloutOptions(
    val registry: FeatureRegistry,
    val desired: Map<FeatureName, Target> = emptyMap(),
    val pace: MigrationPace = MigrationPace(),
)
