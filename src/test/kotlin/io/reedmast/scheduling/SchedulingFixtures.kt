package io.reedmast.scheduling

import io.reedmast.model.ShardState
import io.reedmast.placement.PlacementFixtures
import io.reedmast.ports.Clock
import io.reedmast.settings.ShardId
import io.reedmast.settings.Tuning
import io.reedmast.sim.testSettings

/** A clock whose time is set by the test. */
class SettableClock(var nowMs: Long = 0L) : Clock {
    override fun now(): Long = nowMs

    override fun wallTime(): Long = nowMs
}

/** The state of a shard with one team and no machines. */
fun shardState(clock: Clock) =
    ShardState(ShardId(0), testSettings(), Tuning(), clock, { listOf(PlacementFixtures.machineType) }, { true })
