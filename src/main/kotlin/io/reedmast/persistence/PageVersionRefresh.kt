package io.reedmast.persistence

import io.reedmast.kvstore.ReadResult
import io.reedmast.ports.KeyValueStore

/**
 * Reads the version of a page whose precondition failed. No other controller writes the page under this term, so an
 * answer to this controller may have been lost. Until the store has answered, the page counts as being written.
 */
internal fun KeyValueStore.refreshVersion(page: ProgressPage, path: String) {
    page.isWriteInFlight = true
    get(path) { result ->
        page.isWriteInFlight = false
        if (result is ReadResult.Found) page.version = maxOf(page.version, result.item.version)
    }
}
