package io.reedmast.persistence

import io.reedmast.jobs.EndRecord
import io.reedmast.kvstore.CasTransaction
import io.reedmast.kvstore.CommitOutcome
import io.reedmast.kvstore.Keys
import io.reedmast.kvstore.Precondition
import io.reedmast.kvstore.ReadResult
import io.reedmast.kvstore.StoredItem
import io.reedmast.kvstore.Write
import io.reedmast.kvstore.WritePriority
import io.reedmast.model.Chunk
import io.reedmast.model.Job
import io.reedmast.model.PendingWrite
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.ports.KeyValueStore
import io.reedmast.rollout.RecordAccess
import io.reedmast.wire.JobState
import org.slf4j.LoggerFactory

/** The storing of a shard: pages of progress, and the ends of jobs. */
class ProgressStore(
    private val shardState: ShardState,
    private val store: KeyValueStore,
    private val listener: ProgressListener,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val shard = shardState.index.value
    private val pages = ArrayList<ProgressPage>()
    private val pageBytes = shardState.limits.target.valueBytes * 95 / 100

    /**
     * Whether the pages were read when the reduced limits were known to hold, so that they were divided accordingly.
     */
    private val dividedForReduced = shardState.limits.isReduced
    private val supersededPages = SupersededPages(shardState, store)
    private val toEnd = LinkedHashSet<Job>()
    private var endings = 0

    /**
     * Whether what it holds is to be read again, since the limits were lowered after it was, and some of it is too
     * large for them.
     */
    val needsReload: Boolean get() = isUndivided || pages.any { isOverfull(it) }

    private val isUndivided: Boolean
        get() = !dividedForReduced && shardState.limits.isReduced &&
            pages.any { it.reservedIn(PageForm.SIZED) > pageBytes || isTooLarge(it) }

    /**
     * Whether it holds more than its plain form can, in which it is to be stored again: its content has to go to
     * several pages.
     */
    private fun isOverfull(page: ProgressPage): Boolean =
        page.storedDense && page.reservedIn(PageForm.SIZED) > pageBytes &&
            !shardState.gates().writes(DensePages.FEATURE)

    private fun isTooLarge(page: ProgressPage): Boolean {
        val most = PageForm.chunkSizeFor(shardState.limits.target.valueBytes)
        return page.chunks.any { it.size > most }
    }

    /**
     * Takes up stored pages as they were read; [place] takes up each placement. [chunkSizes] are those of the jobs'
     * records.
     */
    fun load(items: List<StoredItem>, chunkSizes: Map<String, Int>, place: (Job, StoredPlacement) -> Unit) =
        PageReader(shardState, pages, supersededPages, pageBytes, chunkSizes, place).load(items)

    /** Stores what differs from what is stored, as far as the limit on changes allows. */
    fun flush(now: Long) {
        for (job in shardState.changed) {
            if (shardState.jobs[job.spec.jobId] !== job) continue
            if (job.isFinished) toEnd.add(job)
            for (chunk in job.chunks) {
                if (chunk == null || !chunk.dirty) continue
                val page = chunk.page ?: pageFor(chunk)
                page.requestWrite(now, pendingWriteOf(chunk))
            }
        }
        shardState.changed.clear()
        if (!shardState.isCurrent()) return
        endJobs()
        supersededPages.clear(pages, shard)
        var onTheirWay = pages.count { it.writing && it.waitedFor }
        val due = pages.filter { it.dirtySince != 0L && !it.writing && now >= it.refusedUntil && !isOverfull(it) }
        for (page in due.sortedWith(compareBy({ -it.pending.ordinal }, { it.dirtySince }))) {
            if (page.pending != PendingWrite.RESULTS) {
                // Not to the last change that is allowed: an acceptance, whose user waits, takes one and should find
                // it. Nor more at once than it may wait behind: what is placed meanwhile shares the page's next put.
                if (store.writePermitLevel() <= FULL_ENOUGH_TO_PLACE ||
                    onTheirWay >= maxPagesAtOnce(page.pending)
                ) {
                    continue
                }
                store(page, WritePriority.URGENT)
                onTheirWay++
            } else if (isTimeForResults(page, now)) {
                store(page, if (now - page.dirtySince >= OVERDUE_MS) WritePriority.URGENT else WritePriority.DEFERRED)
            }
        }
    }

    /**
     * A page that holds results only is handed over when there is room for it at once: while it waits to be stored,
     * nothing new in it is.
     */
    private fun isTimeForResults(page: ProgressPage, now: Long): Boolean {
        val age = now - page.dirtySince
        return (age >= DEFERRED_MAX_MS && store.writePermitLevel() > ROOM_FOR_RESULTS) ||
            (age >= OVERDUE_MS && store.writePermitLevel() > FULL_ENOUGH_TO_PLACE)
    }

    private fun pendingWriteOf(chunk: Chunk): PendingWrite = when {
        chunk.placements.values.all { it.committed } -> PendingWrite.RESULTS
        shardState.isLatencySensitive(chunk.job) -> PendingWrite.URGENT_PLACEMENTS
        else -> PendingWrite.ARRAY_PLACEMENTS
    }

    private fun maxPagesAtOnce(pending: PendingWrite) = when {
        store.writePermitLevel() > NEARLY_FULL -> PAGES_AT_ONCE
        pending == PendingWrite.URGENT_PLACEMENTS -> SOME_PAGES_AT_ONCE
        else -> FEW_PAGES_AT_ONCE
    }

    /** Pages that are about to be written anyway come first, so that decisions of a moment share a put. */
    private fun pageFor(chunk: Chunk): ProgressPage {
        val form = PageForm.toWrite(shardState.gates(), shardState.limits.isReduced)
        val open = pages.filter { !it.writing && it.hasRoom(chunk, pageBytes, form) }
        val page =
            open.firstOrNull { it.pending != PendingWrite.RESULTS } ?: open.firstOrNull { it.dirtySince != 0L }
                ?: open.firstOrNull()
        return (page ?: ProgressPage(pages.size).also { pages.add(it) }).also { it.add(chunk) }
    }

    private fun store(page: ProgressPage, writePriority: WritePriority) {
        val path = Keys.page(shard, page.index)
        val pending = page.chunks.flatMap { chunk -> chunk.placements.values.filter { !it.committed } }
        // Each job that is placed anew is a condition, and a transaction takes only so many.
        val jobs = pending.mapTo(LinkedHashSet()) {
            it.job
        }.take(shardState.limits.target.opsPerCommit * CONDITIONAL_JOBS_PER_WRITE)
        val included = pending.filter { it.job in jobs }
        val left = pending.filterTo(HashSet()) { it.job !in jobs }
        page.waitedFor = page.pending != PendingWrite.RESULTS
        page.chunks.forEach { it.dirty = false }
        page.dirtySince = if (left.isEmpty()) 0L else page.dirtySince
        page.pending = if (left.isEmpty()) PendingWrite.RESULTS else page.pending
        page.writing = true
        // The form and the condition that it is the right one come from one look at the gates.
        val gates = shardState.gates()
        val form = PageForm.toWrite(gates, shardState.limits.isReduced)
        val preconditions = ArrayList<Precondition>(jobs.size + 3)
        preconditions.add(shardState.termPrecondition)
        preconditions.add(gates.precondition)
        preconditions.add(Precondition(path, page.version))
        jobs.mapTo(preconditions) { Precondition(Keys.live(shard, it.spec.jobId), it.version) }
        store.commit(
            CasTransaction(
                preconditions,
                listOf(Write.Put(path, page.toFields(left, form))),
                writePriority,
            ) { outcome ->
                page.writing = false
                if (shardState.dropped) return@CasTransaction
                when (outcome) {
                    is CommitOutcome.Applied -> {
                        page.version = outcome.revision
                        page.storedDense = form == PageForm.DENSE
                        included.forEach { listener.placed(it) }
                    }

                    is CommitOutcome.Conflict -> {
                        again(page)
                        conflict(outcome.failed, page, included)
                    }

                    is CommitOutcome.Refused -> {
                        log.error("record {}: refused by the store: {}", path, outcome.reason)
                        page.refusedUntil = shardState.clock.now() + REREAD_MS
                        again(page)
                        included.forEach {
                            it.job.notBefore = shardState.clock.now() + REFUSED_MS
                            shardState.finish(it, done = false)
                        }
                    }
                }
            },
        )
    }

    private fun again(page: ProgressPage) {
        page.chunks.forEach { shardState.markDirty(it) }
        page.dirtySince = shardState.clock.now()
        page.pending = page.chunks.maxOfOrNull { pendingWriteOf(it) } ?: PendingWrite.RESULTS
        if (page.pending == PendingWrite.RESULTS) page.pending = PendingWrite.ARRAY_PLACEMENTS
    }

    /**
     * Something had moved on: the term, a job that its user has cancelled, or the page, if an answer of ours was lost.
     */
    private fun conflict(failed: Set<String>, page: ProgressPage?, included: List<Placement>) {
        if (Keys.shard(shard) in failed) listener.termInDoubt()
        if (Keys.ROLLOUT in failed) {
            listener.gatesInDoubt()
            page?.refusedUntil = shardState.clock.now() + REREAD_GATES_MS
        }
        for (path in failed) {
            val jobId = path.removePrefix("${Keys.LIVE}$shard/").takeIf { it != path } ?: continue
            // Sent again as it is, it would only fail again: nothing is placed before the record is known.
            included.filter {
                it.job.spec.jobId == jobId && !it.committed
            }.forEach { shardState.finish(it, done = false) }
            shardState.jobs[jobId]?.let { it.notBefore = shardState.clock.now() + REREAD_MS }
            store.get(path) {
                if (!shardState.dropped &&
                    it !is ReadResult.Failed
                ) {
                    listener.recordChanged(path, (it as? ReadResult.Found)?.item)
                }
            }
        }
        if (page != null && Keys.page(shard, page.index) in failed) {
            page.writing = true
            store.get(Keys.page(shard, page.index)) {
                page.writing = false
                if (it is ReadResult.Found) page.version = maxOf(page.version, it.item.version)
            }
        }
    }

    /** Final states: of jobs done at once, since their users wait; of cancelled ones, who know, when there is room. */
    private fun endJobs() {
        val each = toEnd.iterator()
        while (each.hasNext() && endings < MAX_ENDINGS) {
            val job = each.next()
            if (!job.isFinished || job.ending || shardState.jobs[job.spec.jobId] !== job) {
                each.remove()
                continue
            }
            if (shardState.clock.now() < job.endNotBefore ||
                (job.isCancelled && store.writePermitLevel() < FULL_ENOUGH)
            ) {
                continue
            }
            each.remove()
            end(job)
        }
    }

    private fun end(job: Job) {
        job.ending = true
        endings++
        val jobId = job.spec.jobId
        val live = Keys.live(shard, jobId)
        val end = EndRecord(if (job.isCancelled) JobState.CANCELLED else JobState.DONE, job.spec.taskCount)
        val preconditions =
            listOf(shardState.termPrecondition, Precondition(live, job.version), Precondition(Keys.end(jobId), 0))
        val writes = listOf(Write.Put(Keys.end(jobId), end.toFields()), Write.Delete(live))
        store.commit(
            CasTransaction(
                preconditions,
                writes,
                if (job.isCancelled) WritePriority.DEFERRED else WritePriority.URGENT,
            ) { outcome ->
                endings--
                if (shardState.dropped) return@CasTransaction
                job.ending = false
                when (outcome) {
                    is CommitOutcome.Applied -> listener.ended(job, end, outcome.revision)

                    is CommitOutcome.Conflict -> {
                        job.endNotBefore = shardState.clock.now() + REREAD_MS
                        toEnd.add(job)
                        conflict(outcome.failed, null, emptyList())
                    }

                    is CommitOutcome.Refused -> {
                        log.error("job {}: the store refuses its final record: {}", jobId, outcome.reason)
                        job.endNotBefore = shardState.clock.now() + REFUSED_MS
                        toEnd.add(job)
                    }
                }
            },
        )
    }

    /** Whether all that was decided is stored, and nothing is on its way to be. */
    val isSettled: Boolean get() = endings == 0 && toEnd.isEmpty() &&
        pages.none { it.writing || it.pending != PendingWrite.RESULTS }

    /** How a migration gets at the pages: one that is to be stored anyway gets the wanted form by that. */
    val access = object : RecordAccess {
        override fun tryAcquire(path: String): Boolean {
            val page = pageAt(path) ?: return true
            if (page.writing || page.dirtySince != 0L) return false
            page.writing = true
            return true
        }

        override fun release(path: String, version: Long?) {
            val page = pageAt(path) ?: return
            page.writing = false
            if (version == null) return
            page.version = maxOf(page.version, version)
            page.storedDense = shardState.gates().writes(DensePages.FEATURE)
        }

        private fun pageAt(path: String): ProgressPage? = path.substringAfterLast('/').toIntOrNull()?.let {
            pages.getOrNull(it)
        }
    }

    fun forget(job: Job) {
        toEnd.remove(job)
        for (chunk in job.chunks) {
            // What a page still holds of a job that is over is ignored: there is nothing left to store.
            chunk?.page?.remove(chunk)
            chunk?.page = null
            chunk?.dirty = false
        }
    }

    private companion object {
        const val DEFERRED_MAX_MS = 700L

        /**
         * Jobs that are placed anew by one put are conditions of it, of which a transaction takes four for each change.
         */
        const val CONDITIONAL_JOBS_PER_WRITE = 3
        const val FULL_ENOUGH = 0.5
        const val FULL_ENOUGH_TO_PLACE = 0.25
        const val NEARLY_FULL = 0.8
        const val ROOM_FOR_RESULTS = 0.65
        const val OVERDUE_MS = 8_000L
        const val PAGES_AT_ONCE = 8
        const val SOME_PAGES_AT_ONCE = 5
        const val FEW_PAGES_AT_ONCE = 2
        const val MAX_ENDINGS = 64
        const val REFUSED_MS = 30_000L
        const val REREAD_MS = 500L
        const val REREAD_GATES_MS = 150L
    }
}
