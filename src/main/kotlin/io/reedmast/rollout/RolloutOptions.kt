package io.reedmast.rollout

/**
 * A controller's configuration for the rollout.
 *
 * @property registry the features of this binary
 * @property desired the target that its deploy file requests for each feature; empty without such a file
 */
class RolloutOptions(
    val registry: FeatureRegistry,
    val desired: Map<FeatureName, Target> = emptyMap(),
    val pace: MigrationPace = MigrationPace(),
)
