package io.reedmast.placement

import io.reedmast.model.Machine

/** How many tasks of a gang start on each machine; together they are the whole gang. */
data class GangAssignment(val tasksByMachine: Map<Machine, Int>)
