package io.reedmast.model

/**
 * A machine as stored in the records of its shard.
 *
 * @property typeName the cloud's name of the machine type.
 * @property spot whether it was rented as a spot machine, which the cloud may take back at short notice.
 */
data class MachineRecord(val name: String, val typeName: String, val zone: String, val spot: Boolean)
