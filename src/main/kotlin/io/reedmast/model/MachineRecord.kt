package io.reedmast.model

/**
 * A machine as the records of its shard name it.
 *
 * @property typeName the machine type's name in the cloud.
 * @property spot whether it was rented as a spot machine, which the cloud may want back at short notice.
 */
data class MachineRecord(val name: String, val typeName: String, val zone: String, val spot: Boolean)
