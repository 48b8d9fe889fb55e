package io.reedmast.placement

import io.reedmast.model.Machine

/** How many tasks of a gang to start on each machine; they add up to the whole gang. */
data class GangAssignment(val tasksByMachine: Map<Machine, Int>)
