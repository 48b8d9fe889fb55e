package io.reedmast.commands

import io.reedmast.model.Machine
import io.reedmast.wire.WorkerCommand

/** Commands that have been decided but not sent yet, by machine, in the order in which they were decided. */
internal class CommandQueue {
    private val commandsByMachine = LinkedHashMap<Machine, MutableList<WorkerCommand>>()

    /** Queues [command] after those already queued for [machine]. */
    fun add(machine: Machine, command: WorkerCommand) {
        commandsByMachine.getOrPut(machine) { ArrayList() }.add(command)
    }

    /** Empties the queue and returns its former contents. */
    fun drain(): Map<Machine, List<WorkerCommand>> {
        if (commandsByMachine.isEmpty()) return emptyMap()
        val drained = LinkedHashMap<Machine, List<WorkerCommand>>(commandsByMachine)
        commandsByMachine.clear()
        return drained
    }
}
