package io.reedmast.settings

// Names of teams, zones, controllers and shards are dense indices, from 0, once the settings have been read.

/** The place of a team in [Settings.teams]. */
@JvmInline
value class TeamId(val value: Int)

/** The place of a zone in [Settings.zones]. */
@JvmInline
value class ZoneIndex(val value: Int)

/** The place of a controller in [Settings.members]. */
@JvmInline
value class ControllerId(val value: Int)

/** The number of a shard, below [Settings.shardCount]. */
@JvmInline
value class ShardId(val value: Int)
