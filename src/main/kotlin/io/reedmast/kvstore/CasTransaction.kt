package io.reedmast.kvstore

/**
 * Writes that are applied together or not at all.
 *
 * Every key written must be guarded by its own version: a transaction that got no answer may be applied minutes later,
 * and it must then find that its keys have moved on.
 */
class CasTransaction(
    val preconditions: List<Precondition>,
    val writes: List<Write>,
    val writePriority: WritePriority = WritePriority.URGENT,
    val done: (CommitOutcome) -> Unit,
) {
    init {
        val covered = preconditions.mapTo(HashSet()) { it.path }
        require(writes.all { it.path in covered }) { "a key is written without its own guard" }
    }
}
