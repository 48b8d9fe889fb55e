package io.reedmast.sim

import io.reedmast.settings.CloudLimits
import io.reedmast.settings.ControllerId
import io.reedmast.settings.Member
import io.reedmast.settings.Settings
import io.reedmast.settings.StoreLimits
import io.reedmast.settings.TeamShare
import io.reedmast.settings.WorkerRules

/** Settings of controller n0 among [controllers], with one team and one zone, for tests of one class alone. */
fun testSettings(
    controllers: List<String> = listOf("n0"),
    team: TeamShare = TeamShare("a", 8.0, 12.0, 0.0, 0.0),
    storeLimits: StoreLimits = StoreLimits(100.0, 50.0, 8192, 16),
    nextStoreLimits: StoreLimits? = null,
) = Settings(
    label = "n0",
    apiAddress = World.address(0, 8080),
    clusterAddress = World.address(0, 8081),
    members = controllers.mapIndexed { i, label -> Member(label, World.address(i, 8081)) },
    controllerId = ControllerId(0),
    cloudAddress = "10.2.0.2:1",
    storeAddress = "10.2.0.1:1",
    zones = listOf("x"),
    teams = listOf(team),
    objectives = emptyList(),
    workers = WorkerRules(3.0, 16.0, 41.0),
    storeLimits = storeLimits,
    nextStoreLimits = nextStoreLimits,
    cloudLimits = CloudLimits(2.0, 5.0),
    maxConnections = 100,
)
