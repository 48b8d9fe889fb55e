package io.reedmast.persistence

/**
 * A placement as stored in a page.
 *
 * @property task the number of the task in its job
 * @property attempt the number of the attempt, which contains its owner's fencing token
 * @property machineName the machine on which the attempt was placed
 */
data class StoredPlacement(val task: Int, val attempt: Long, val machineName: String)
