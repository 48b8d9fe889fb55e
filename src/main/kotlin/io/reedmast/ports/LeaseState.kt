package io.reedmast.ports

import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.settings.ControllerId
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.Reply
import io.reedmast.wire.WorkerCommand

/** A lease of this controller after an attempt to renew it, or to get a new one. */
sealed interface LeaseState {
    data class Held(val lease: Long, val isNew: Boolean) : LeaseState

    data object Lost : LeaseState

    data object Unknown : LeaseState
}
