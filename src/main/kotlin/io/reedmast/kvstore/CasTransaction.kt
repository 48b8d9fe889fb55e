package io.reedmast.kvstore

/**
 * A compare-and-swap transaction as submitted by a component: all of [writes] are applied together, or none is.
 *
 * Several of them may be sent to the store in one [StoreTransaction].
 *
 * Every key written must be guarded by a precondition on its own version: a transaction that got no answer may be
 * executed minutes later, and must then fail because its keys have changed.
 *
 * @property preconditions the versions that keys must still have; they cover at least every key written.
 * @property writePriority decides which transactions are sent first when more writes wait than the store accepts.
 * @property done called once, when the outcome is certain.
 * @throws IllegalArgumentException if a key is written without a precondition on it.
 */
class CasTransaction(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    val writePriority: WritePriority = WritePriority.URGENT,
    val done: (CommitOutcome) -> Unit,
) {
    init {
        val guardedPaths = preconditions.mapTo(HashSet()) { it.path }
        require(writes.all { it.path in guardedPaths }) { "a key is written without a precondition on its version" }
    }
}
