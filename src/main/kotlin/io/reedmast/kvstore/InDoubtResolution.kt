package io.reedmast.kvstore

import org.slf4j.LoggerFactory

/**
 * Finds out what becomes of a batch of changes that share a transaction, and reports each change once that is certain.
 *
 * A transaction that got no answer is in doubt: it may have been executed, or may yet be. It is sent again as it was,
 * since its preconditions keep it from being applied twice. If the repeat fails, either the first copy was applied or
 * it never will be, and the keys that it puts are read: one that carries the transaction's id proves that all of it was
 * applied. Nothing else does. An equal value may have been stored by another controller, and must not pass for changes
 * that merely shared the transaction.
 *
 * A change is reported as a conflict as well if it was applied and all that it put has been replaced since. Whoever is
 * told of a conflict therefore reads the keys again before deciding anything.
 *
 * This class does no I/O: the caller carries out each [ResolutionStep] and hands back the result.
 */
class InDoubtResolution(
    changes: List<CasTransaction>,
    private val ids: TransactionIds,
    /** A number from 0 to 1, anew with each call. */
    private val jitter: () -> Double,
    private val deliver: (CasTransaction, CommitOutcome) -> Unit,
) {
    private val log = LoggerFactory.getLogger("store")

    /** Changes that are sent together, and the ids of the transactions in doubt that hold them. */
    private class Group(val changes: List<CasTransaction>, val inDoubt: Set<String>)

    /** Keys still to be read for the id of a transaction in doubt, and what follows if none carries it. */
    private class Check(
        val preconditions: Map<String, Long>,
        val unread: ArrayDeque<String>,
        val notApplied: () -> Unit,
    )

    private val groups = ArrayDeque(listOf(Group(changes, emptySet())))
    private var transaction: StoreTransaction? = null
    private var check: Check? = null
    private var pauseMs = 0L
    private var backoffMs = FIRST_BACKOFF_MS

    fun next(): ResolutionStep {
        val group = groups.firstOrNull() ?: return ResolutionStep.Done
        check?.let { return ResolutionStep.Read(it.unread.first(), pauseMs) }
        return ResolutionStep.Send(transaction ?: transactionOf(group).also { transaction = it }, pauseMs)
    }

    private fun transactionOf(group: Group) = StoreTransaction(
        ids.next(),
        group.changes.flatMap {
            it.preconditions
        }.distinct(),
        group.changes.flatMap { it.writes },
    )

    /** The store's reply to the transaction of the last [ResolutionStep.Send]. */
    fun replied(reply: CommitReply) {
        val group = groups.first()
        pauseMs = 0L
        when (reply) {
            is CommitReply.Applied -> finish(group) { CommitOutcome.Applied(reply.revision) }

            is CommitReply.PreconditionFailed -> unlessApplied(group, reply.paths) { conflict(group, reply.paths) }

            is CommitReply.Malformed -> {
                log.info("store: a transaction was refused as malformed: {}", reply.reason)
                if (group.changes.size >
                    1
                ) {
                    split(group)
                } else {
                    unlessApplied(group, emptySet()) { finish(group) { CommitOutcome.Refused(reply.reason) } }
                }
            }

            is CommitReply.RateLimited, is CommitReply.NotExecuted -> backOff()

            is CommitReply.Unknown -> {
                val sent = transaction ?: return
                groups[0] = Group(group.changes, group.inDoubt + sent.id)
                backOff()
            }
        }
    }

    private fun backOff() {
        pauseMs = (backoffMs * (HALF + HALF * jitter())).toLong()
        backoffMs = minOf(backoffMs * 2, MAX_BACKOFF_MS)
    }

    /** The value under the key of the last [ResolutionStep.Read]. */
    fun read(fetched: ReadResult) {
        val running = check ?: return
        val group = groups.first()
        pauseMs = 0L
        if (fetched is ReadResult.Failed) {
            backOff()
            return
        }
        val path = running.unread.removeFirst()
        val item = (fetched as? ReadResult.Found)?.item
        val writer = item?.transactionId
        when {
            item != null && writer in group.inDoubt -> {
                check = null
                finish(group) { CommitOutcome.Applied(item.version) }
            }

            // A key that has not moved shows that the transaction was not applied, and no other key needs to be read.
            // One that is missing shows nothing: a key under a lease is gone once the lease has ended.
            running.unread.isEmpty() || (item != null && item.version == running.preconditions[path]) -> {
                check = null
                running.notApplied()
            }
        }
    }

    /**
     * Does [notApplied] at once if no transaction with these changes is in doubt, or once it is certain that none was
     * applied.
     *
     * Keys whose preconditions have not [failed] are read first: one that has not moved saves reading the others.
     */
    private fun unlessApplied(group: Group, failed: Set<String>, notApplied: () -> Unit) {
        val puts = group.changes.flatMap { it.writes }.filterIsInstance<Write.Put>().map { it.path }
        if (group.inDoubt.isEmpty() || puts.isEmpty()) {
            notApplied()
            return
        }
        val preconditions = group.changes.flatMap { it.preconditions }.associate { it.path to it.version }
        val unread = puts.sortedWith(compareBy({ it in failed }, { preconditions[it] == 0L }))
        check = Check(preconditions, ArrayDeque(unread), notApplied)
    }

    /** Changes whose preconditions failed are reported; the others are sent without them. */
    private fun conflict(group: Group, paths: Set<String>) {
        val (failed, rest) = group.changes.partition { change -> change.preconditions.any { it.path in paths } }
        if (failed.isEmpty()) {
            log.error("store: a transaction was refused without naming one of its keys")
            finish(group) { CommitOutcome.Conflict(paths) }
            return
        }
        replace(if (rest.isEmpty()) emptyList() else listOf(Group(rest, emptySet())))
        failed.forEach { deliver(it, CommitOutcome.Conflict(paths)) }
    }

    /** Each change goes by itself: one of them keeps the others from being stored. */
    private fun split(group: Group) = replace(group.changes.map { Group(listOf(it), group.inDoubt) })

    private fun finish(group: Group, outcome: () -> CommitOutcome) {
        replace(emptyList())
        group.changes.forEach { deliver(it, outcome()) }
    }

    private fun replace(by: List<Group>) {
        groups.removeFirst()
        by.asReversed().forEach { groups.addFirst(it) }
        transaction = null
        backoffMs = FIRST_BACKOFF_MS
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 800L
        const val HALF = 0.5
    }
}
