package io.reedmast.persistence

import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.KeyValueStore

/**
 * Reads the stored version of a page after a write of it has failed. No other controller writes the page under this
 * term, so if the version is not the expected one, the store may have applied a write of this controller whose answer
 * was lost. Until the store has answered the read, the page counts as being written.
 */
internal fun KeyValueStore.refreshVersion(page: ProgressPage, path: String) {
    page.isWriteInFlight = true
    get(path) { result ->
        page.isWriteInFlight = false
        if (result is ReadResult.Found) page.version = maxOf(page.version, result.item.version)
    }
}
