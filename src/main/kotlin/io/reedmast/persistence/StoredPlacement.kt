package io.reedmast.persistence

/**
 * One placement as a page holds it.
 *
 * @property task the number of the task in its job
 * @property attempt the number of the attempt, which contains its owner's fencing token
 * @property machineName the machine that the attempt was placed on
 */
data class StoredPlacement(val task: Int, val attempt: Long, val machineName: String)
