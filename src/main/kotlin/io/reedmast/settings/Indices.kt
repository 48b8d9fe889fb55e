package io.reedmast.settings

// Once the settings have been read, teams, zones, controllers and shards are identified by dense indices from 0.

/** The index of a team in [Settings.teams]. */
@JvmInline
value class TeamId(val value: Int)

/** The index of a zone in [Settings.zones]. */
@JvmInline
value class ZoneIndex(val value: Int)

/** The index of a controller in [Settings.members]. */
@JvmInline
value class ControllerId(val value: Int)

/** The number of a shard, below [Settings.shardCount]. */
@JvmInline
value class ShardId(val value: Int)
