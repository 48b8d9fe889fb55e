package io.reedmast.placement

import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.MachineRecord
import io.reedmast.model.Placement
import io.reedmast.settings.TeamId
import io.reedmast.sim.World
import io.reedmast.wire.MachineType

/** Machines with four CPUs, and jobs whose tasks take one CPU unless the arguments of [job] say otherwise. */
object PlacementFixtures {
    val machineType = MachineType("m", 4.0, 0.0, 64.0, 50.0, 0.5, 1.0, 0.3, 20.0, listOf("x", "y"))

    fun machine(name: String = "host-0", zone: String = "x", spot: Boolean = false) =
        Machine(MachineRecord(name, "m", zone, spot), machineType, 0L, 0L)

    fun job(id: String = "wk-1", vararg args: Pair<String, String>) =
        Job(World.spec(id, mapOf("tasks" to "4") + args), TeamId(0), 16, 0L, 1L)

    /** Places the tasks of [job] on the machine, numbered from 0, the first one at [firstMadeAt], a second apart. */
    fun place(job: Job, machine: Machine, taskCount: Int, firstMadeAt: Long = 0L): List<Placement> =
        (0 until taskCount).map { task ->
            Placement(job, task, 1L, machine, firstMadeAt + task * 1000L).also { job.add(it) }
        }
}
