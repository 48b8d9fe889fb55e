package io.reedmast.kvstore

import org.slf4j.LoggerFactory

/**
 * Determines the outcomes of a batch of transactions that are sent together, and reports each outcome once it is
 * certain.
 *
 * A [StoreTransaction] that got no answer is in doubt: it may have been executed, or may still be. It is sent again
 * unchanged, since its preconditions keep it from being applied twice. If the repeat fails, either the first copy was
 * applied or it never will be, and the keys that it puts are read: a value that carries the id of the
 * [StoreTransaction] proves that all of it was applied. Nothing else proves that. In particular, an equal value may
 * have been stored by another controller, and must not count as proof for transactions that were merely sent in the
 * same [StoreTransaction].
 *
 * A transaction that was applied, but whose puts have all been replaced since, is also reported as a conflict. The
 * receiver of a conflict must therefore read the keys again before deciding anything.
 *
 * This class does no I/O: the caller carries out each [ResolutionStep] and hands back the result. Not thread-safe.
 *
 * @param transactions at least one; all of them must fit into one [StoreTransaction].
 * @param deliver called once for each of [transactions], with its outcome.
 */
class InDoubtResolution(
    transactions: List<CasTransaction>,
    private val ids: TransactionIds,
    /** Returns a random number from 0 to 1, a new one with each call. */
    private val jitter: () -> Double,
    private val deliver: (CasTransaction, CommitOutcome) -> Unit,
) {
    private val log = LoggerFactory.getLogger("store")

    /** Transactions that are sent together, and the ids of the store transactions in doubt that hold them. */
    private class Group(val transactions: List<CasTransaction>, val idsInDoubt: Set<String>)

    /** Keys still to be read for the id of a store transaction in doubt, and what to do if none carries one. */
    private class AppliedCheck(
        val versionsByGuardedPath: Map<String, Long>,
        val unreadPaths: ArrayDeque<String>,
        val onNotApplied: () -> Unit,
    )

    private val groups = ArrayDeque(listOf(Group(transactions, emptySet())))

    /** What is sent for the first group; null until its first attempt. */
    private var storeTransaction: StoreTransaction? = null

    /** Not null while keys are read to find out whether the first group was applied. */
    private var appliedCheck: AppliedCheck? = null
    private var pauseMs = 0L
    private var backoffMs = FIRST_BACKOFF_MS

    /** What the caller must do next; it passes the result to [onReply] or [onReadResult]. */
    fun nextStep(): ResolutionStep {
        val group = groups.firstOrNull() ?: return ResolutionStep.Done
        appliedCheck?.let { return ResolutionStep.Read(it.unreadPaths.first(), pauseMs) }
        val attempt = storeTransaction ?: newStoreTransaction(group).also { storeTransaction = it }
        return ResolutionStep.Send(attempt, pauseMs)
    }

    private fun newStoreTransaction(group: Group) = StoreTransaction(
        id = ids.next(),
        preconditions = group.transactions.flatMap { it.preconditions }.distinct(),
        writes = group.transactions.flatMap { it.writes },
    )

    /** Handles the store's reply to the transaction of the last [ResolutionStep.Send]. */
    fun onReply(reply: CommitReply) {
        val group = groups.first()
        pauseMs = 0L
        when (reply) {
            is CommitReply.Applied -> finish(group, CommitOutcome.Applied(reply.revision))
            is CommitReply.PreconditionFailed -> unlessApplied(group, reply.paths) { conflict(group, reply.paths) }
            is CommitReply.Malformed -> refused(group, reply.reason)
            is CommitReply.RateLimited, is CommitReply.NotExecuted -> backOff()
            is CommitReply.Unknown -> unanswered(group)
        }
    }

    private fun refused(group: Group, reason: String) {
        log.info("store: a transaction was refused as malformed: {}", reason)
        if (group.transactions.size > 1) {
            split(group)
        } else {
            unlessApplied(group, emptySet()) { finish(group, CommitOutcome.Refused(reason)) }
        }
    }

    private fun unanswered(group: Group) {
        val sent = storeTransaction ?: return
        groups[0] = Group(group.transactions, group.idsInDoubt + sent.id)
        backOff()
    }

    private fun backOff() {
        pauseMs = (backoffMs * (JITTER_RANGE + JITTER_RANGE * jitter())).toLong()
        backoffMs = minOf(backoffMs * 2, MAX_BACKOFF_MS)
    }

    /** Handles the result of reading the key of the last [ResolutionStep.Read]. */
    fun onReadResult(result: ReadResult) {
        val check = appliedCheck ?: return
        pauseMs = 0L
        when (result) {
            is ReadResult.Failed -> backOff()
            is ReadResult.Missing -> evaluate(check, null)
            is ReadResult.Found -> evaluate(check, result.item)
        }
    }

    /** Handles [item], which is stored under the first unread key; null if that key is missing. */
    private fun evaluate(check: AppliedCheck, item: StoredItem?) {
        val group = groups.first()
        val path = check.unreadPaths.removeFirst()
        when {
            item != null && item.transactionId in group.idsInDoubt -> {
                appliedCheck = null
                finish(group, CommitOutcome.Applied(item.version))
            }

            // A key that still has the version of its precondition shows that the transaction was not applied, and no
            // other key needs to be read. A missing key shows nothing: a key under a lease is deleted when the lease
            // expires.
            check.unreadPaths.isEmpty() || (item != null && item.version == check.versionsByGuardedPath[path]) -> {
                appliedCheck = null
                check.onNotApplied()
            }
        }
    }

    /**
     * Calls [onNotApplied] at once if no store transaction that contains these transactions is in doubt or if they put
     * no keys; otherwise once it is certain that none was applied.
     *
     * Keys whose preconditions are not among [failedPaths] are read first: if one still has the version of its
     * precondition, the others need not be read.
     */
    private fun unlessApplied(group: Group, failedPaths: Set<String>, onNotApplied: () -> Unit) {
        val putPaths = group.transactions.flatMap { it.writes }.filterIsInstance<Write.Put>().map { it.path }
        if (group.idsInDoubt.isEmpty() || putPaths.isEmpty()) {
            onNotApplied()
            return
        }
        val versions = group.transactions.flatMap { it.preconditions }.associate { it.path to it.version }
        val unreadPaths = putPaths.sortedWith(compareBy({ it in failedPaths }, { versions[it] == 0L }))
        appliedCheck = AppliedCheck(versions, ArrayDeque(unreadPaths), onNotApplied)
    }

    /** Reports the transactions whose preconditions failed, and sends the others without them. */
    private fun conflict(group: Group, failedPaths: Set<String>) {
        val (failed, others) = group.transactions.partition { transaction ->
            transaction.preconditions.any { it.path in failedPaths }
        }
        if (failed.isEmpty()) {
            log.error("store: preconditions of a transaction failed, but none of the keys named is one of its own")
            finish(group, CommitOutcome.Conflict(failedPaths))
            return
        }
        replaceFirstGroup(if (others.isEmpty()) emptyList() else listOf(Group(others, emptySet())))
        failed.forEach { deliver(it, CommitOutcome.Conflict(failedPaths)) }
    }

    /** Sends each transaction separately, because one of them keeps the others from being stored. */
    private fun split(group: Group) = replaceFirstGroup(group.transactions.map { Group(listOf(it), group.idsInDoubt) })

    private fun finish(group: Group, outcome: CommitOutcome) {
        replaceFirstGroup(emptyList())
        group.transactions.forEach { deliver(it, outcome) }
    }

    private fun replaceFirstGroup(replacements: List<Group>) {
        groups.removeFirst()
        replacements.asReversed().forEach { groups.addFirst(it) }
        storeTransaction = null
        backoffMs = FIRST_BACKOFF_MS
    }

    private companion object {
        const val FIRST_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 800L

        /** A pause lasts from half of the backoff to all of it. */
        const val JITTER_RANGE = 0.5
    }
}
