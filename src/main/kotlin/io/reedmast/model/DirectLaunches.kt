package io.reedmast.model

import io.reedmast.wire.TaskId

/** The worker epoch and the token under which a direct launch was sent. */
data class DirectLaunch(val epoch: Long, val token: Long)

/**
 * The direct launches sent to one machine, by attempt, answered or not.
 *
 * The call, or another copy of it, may arrive late and is carried out as long as the worker's epoch and token are those
 * under which it was sent (PROTOCOL, Delayed messages).
 */
class DirectLaunches {
    private data class Attempt(val task: TaskId, val number: Long)

    private val launches = HashMap<Attempt, DirectLaunch>()

    /** Records that a launch of the attempt is being sent to the worker by a direct call. */
    fun recordSent(id: TaskId, attempt: Long, launch: DirectLaunch) {
        launches[Attempt(id, attempt)] = launch
    }

    /** Removes a recorded launch whose call was not sent, since no connection was made. */
    fun recordNotSent(id: TaskId, attempt: Long) {
        launches.remove(Attempt(id, attempt))
    }

    /** Whether a launch of this attempt, or a late copy of one already carried out, may still start it. */
    fun mayStillStart(id: TaskId, attempt: Long): Boolean = Attempt(id, attempt) in launches

    /** Removes the launches that the worker refuses from now on, as it reports this [epoch] and [token]. */
    fun removeRefused(epoch: Long, token: Long) {
        launches.values.removeIf { it.epoch < epoch || it.token < token }
    }
}
