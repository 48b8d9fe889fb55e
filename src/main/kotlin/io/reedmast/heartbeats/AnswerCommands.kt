package io.reedmast.heartbeats

import io.reedmast.wire.MessageSizes
import io.reedmast.wire.WorkerCommand
import io.reedmast.wire.maxBytes

/**
 * Collects the commands for the answer to one heartbeat, up to the size of a message. What does not fit is left to the
 * answers to later heartbeats.
 */
internal class AnswerCommands {
    private val collected = ArrayList<WorkerCommand>()
    private var freeBytes = MessageSizes.MAX_COMMANDS_BYTES

    /** The commands so far, in the order in which they were added. */
    val commands: List<WorkerCommand> get() = collected

    /** Whether all of [added] fit together. */
    fun hasRoomFor(vararg added: WorkerCommand): Boolean = added.sumOf { it.maxBytes } <= freeBytes

    /** Adds the command if it fits. */
    fun add(command: WorkerCommand) {
        if (!hasRoomFor(command)) return
        freeBytes -= command.maxBytes
        collected.add(command)
    }
}
