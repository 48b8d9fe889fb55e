package io.reedmast.jobs

import io.reedmast.settings.TeamIndex
import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
import io.reedmast.wire.TaskId
import io.reedmast.wire.count
import io.reedmast.wire.list
import io.reedmast.wire.text
import io.reedmast.workers.Machine
import java.util.BitSet
import java.util.TreeMap

/** How a job ended. */
enum class FinalStage(val wire: String) {
    DONE("done"),
    ABORTED("aborted"),
}

/** The record under which any node finds a job by its id. [final] is null while the job is unfinished. */
class RefRecord(
    val slice: Int,
    val pieces: Int,
    val final: FinalStage?,
    /** The whole job, as long as it is unfinished. */
    val spec: Fields?,
    val acceptedAtMs: Long,
) {
    fun toFields(): Fields = if (final == null) {
        mapOf("slice" to slice, "pieces" to pieces, "at" to acceptedAtMs, "spec" to spec)
    } else {
        mapOf("slice" to slice, "pieces" to pieces, "at" to acceptedAtMs, "stage" to final.wire)
    }

    fun ended(stage: FinalStage) = RefRecord(slice, pieces, stage, null, acceptedAtMs)

    companion object {
        @Suppress("UNCHECKED_CAST")
        fun parse(fields: Fields): RefRecord = RefRecord(
            fields.count("slice").toInt(),
            fields.count("pieces").toInt(),
            fields["stage"]?.let { stage -> FinalStage.entries.firstOrNull { it.wire == stage } ?: throw MalformedException("stage is unknown") },
            fields["spec"] as? Fields,
            fields.count("at"),
        )
    }
}

/** Why an owner wants an attempt stopped. */
enum class StopReason {
    ABORTED,
    PREEMPTED,
    DRAINED,
}

/**
 * One attempt to run one task on one machine, from the decision until there is evidence that the attempt is over.
 *
 * Quota, zone rules and free room count every placement, whatever is known of it.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: Machine, val madeAt: Long) {
    val id = TaskId(job.spec.ref, task)

    /** Whether the state service holds it: nothing is launched before. */
    var committed = false

    /** The worker's session for which a launch was last sent, 0 if this owner sent none. */
    var launchTenure = 0L

    /** The tally of the report in whose answer a launch was last sent. */
    var answeredTally = -1L

    var seen = false
    var runningSince = 0L
    var stopReason: StopReason? = null
    var stopSentAt = 0L
    val running: Boolean get() = runningSince != 0L
}

/** Tasks `first` to `first + size - 1` of a job, the unit in which progress is stored. */
class Chunk(val index: Int, val first: Int, val size: Int) {
    val done = BitSet(size)
    val placements = TreeMap<Int, Placement>()

    /** Stamp of the stored form; 0: never stored. */
    var stamp = 0L
    var dirty = false
    var writing = false
    val complete: Boolean get() = done.cardinality() == size

    fun toFields(): Fields {
        val ranges = ArrayList<Int>()
        var from = done.nextSetBit(0)
        while (from >= 0) {
            val to = done.nextClearBit(from)
            ranges.add(from)
            ranges.add(to)
            from = done.nextSetBit(to)
        }
        return mapOf("done" to ranges, "on" to placements.values.map { listOf(it.task, it.attempt, it.machine.name) })
    }

    /** Reads the stored form; [place] makes a placement of a task, an attempt and a host name. */
    fun load(fields: Fields, place: (Int, Long, String) -> Placement) {
        val ranges = fields.list("done").map { (it as? Long)?.toInt() ?: throw MalformedException("done holds no integer") }
        for (i in ranges.indices step 2) done.set(ranges[i], ranges[i + 1])
        for (entry in fields.list("on")) {
            val parts = entry as? List<*> ?: throw MalformedException("on holds no list")
            val task = (parts[0] as? Long)?.toInt() ?: throw MalformedException("task is no integer")
            val attempt = parts[1] as? Long ?: throw MalformedException("attempt is no integer")
            val host = parts[2] as? String ?: throw MalformedException("host is no text")
            placements[task] = place(task, attempt, host)
        }
    }
}

/** An unfinished job in the hands of its slice's owner. */
class Job(
    val spec: JobSpec,
    val team: TeamIndex,
    val slice: Int,
    val chunkSize: Int,
    val acceptedAtMs: Long,
    /** Stamp of the job's [RefRecord]: whoever ends the job moves it. */
    var refStamp: Long,
    /** Stamp of the job's entry among the unfinished. */
    val liveStamp: Long,
) {
    val chunks: Array<Chunk?> = arrayOfNulls((spec.pieces + chunkSize - 1) / chunkSize)
    var abortStamp = 0L
    val aborted: Boolean get() = abortStamp != 0L
    var doneCount = 0
    var placedCount = 0
    var ending = false

    /** Tasks with neither result nor placement, lowest number first. */
    private val waiting = BitSet(spec.pieces).apply { set(0, spec.pieces) }
    val waitingCount: Int get() = if (aborted) 0 else spec.pieces - doneCount - placedCount

    /** Machines on which attempts of this job failed, and how many failed in a row. */
    val failedOn = HashSet<Machine>()
    var failures = 0
    var notBefore = 0L
    var preempting = 0

    fun chunkOf(task: Int): Chunk {
        val index = task / chunkSize
        return chunks[index] ?: Chunk(index, index * chunkSize, minOf(chunkSize, spec.pieces - index * chunkSize)).also { chunks[index] = it }
    }

    fun nextWaiting(): Int = waiting.nextSetBit(0)

    fun placements(): Sequence<Placement> = chunks.asSequence().filterNotNull().flatMap { it.placements.values }

    fun add(placement: Placement) {
        chunkOf(placement.task).apply {
            placements[placement.task] = placement
            dirty = true
        }
        waiting.clear(placement.task)
        placedCount++
        placement.machine.add(placement)
    }

    /** Ends a placement. The evidence for that is the caller's business. */
    fun remove(placement: Placement, done: Boolean) {
        val chunk = chunkOf(placement.task)
        if (chunk.placements.remove(placement.task, placement)) {
            placedCount--
            chunk.dirty = true
            if (done) {
                chunk.done.set(placement.task - chunk.first)
                doneCount++
            } else {
                waiting.set(placement.task)
            }
        }
        placement.machine.remove(placement)
    }

    /** Takes up the state read from the state service. */
    fun load(chunkIndex: Int, stamp: Long, fields: Fields, place: (Int, Long, String) -> Placement) {
        if (chunkIndex !in chunks.indices) throw MalformedException("chunk $chunkIndex is out of range")
        val chunk = chunkOf(chunkIndex * chunkSize)
        chunk.load(fields, place)
        chunk.stamp = stamp
        doneCount += chunk.done.cardinality()
        placedCount += chunk.placements.size
        var i = chunk.done.nextSetBit(0)
        while (i >= 0) {
            waiting.clear(chunk.first + i)
            i = chunk.done.nextSetBit(i + 1)
        }
        chunk.placements.values.forEach {
            waiting.clear(it.task)
            it.committed = true
            it.machine.add(it)
        }
    }

    fun header(): Fields = header(spec, chunkSize, acceptedAtMs)

    companion object {
        /** One placement takes about this much of a stored value. */
        private const val BYTES_PER_TASK = 64

        fun chunkSizeFor(valueBytes: Int): Int = maxOf(1, valueBytes / BYTES_PER_TASK)

        fun header(spec: JobSpec, chunkSize: Int, acceptedAtMs: Long): Fields = mapOf("spec" to spec.toFields(), "chunk" to chunkSize, "at" to acceptedAtMs)

        fun parseSpec(fields: Fields): JobSpec = JobSpec.parse(fields)

        fun crewOf(fields: Fields): String = fields.text("crew")
    }
}
