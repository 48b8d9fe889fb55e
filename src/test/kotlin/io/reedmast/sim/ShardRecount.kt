package io.reedmast.sim

import io.reedmast.model.Chunk
import io.reedmast.model.Job
import io.reedmast.model.Machine
import io.reedmast.model.Placement
import io.reedmast.model.ShardState
import io.reedmast.persistence.PageFormat
import io.reedmast.persistence.ProgressPage
import io.reedmast.wire.MessageSizes
import io.reedmast.wire.reportedTaskBytes
import kotlin.math.abs

/**
 * Recounts what the owner of a shard derives as it goes along: what each team uses, the counts of each job, the free
 * resources of each machine and the space reserved in each page. Each is compared with the placements, results and
 * chunks that it sums.
 */
class ShardRecount(private val shardState: ShardState) {
    private val mismatches = ArrayList<String>()
    private val cpusByTeam = DoubleArray(shardState.settings.teams.size)
    private val preemptionsByJob = HashMap<Job, Int>()
    private var placementCount = 0
    private var unstoredCount = 0

    /** The sums that differ from what they sum, each with both values; empty if all agree. */
    fun mismatches(): List<String> {
        countPreemptions()
        shardState.jobs.values.forEach { recountJob(it) }
        recountTeams()
        recountLimits()
        recountMachines()
        recountPages()
        return mismatches
    }

    private fun compare(what: () -> String, kept: Number, recounted: Number) {
        val difference = abs(kept.toDouble() - recounted.toDouble())
        if (difference > TOLERANCE) mismatches.add("${what()}: kept $kept, recounted $recounted")
    }

    private fun countPreemptions() {
        for ((placement, job) in shardState.preemptedFor) {
            preemptionsByJob.merge(job, 1, Int::plus)
            if (!isInShard(placement)) mismatches.add("preempted for ${job.spec.jobId}: ${placement.id} has ended")
        }
    }

    private fun recountJob(job: Job) {
        val jobId = job.spec.jobId
        var placed = 0
        var running = 0
        var done = 0
        var unstored = 0
        for (chunk in job.chunks) {
            if (chunk == null) continue
            placed += chunk.placements.size
            running += chunk.placements.values.count { it.running }
            done += chunk.done.cardinality()
            unstored += chunk.placements.values.count { !it.committed }
        }
        placementCount += placed
        unstoredCount += unstored
        cpusByTeam[job.team.value] += placed * job.spec.cpus
        compare({ "$jobId, placed" }, job.placedCount, placed)
        compare({ "$jobId, running" }, job.runningCount, running)
        compare({ "$jobId, done" }, job.doneCount, done)
        val pending = if (job.isCancelled) 0 else job.spec.taskCount - placed - done
        compare({ "$jobId, pending" }, job.pendingCount, pending)
        compare({ "$jobId, first pending task" }, job.nextPending(), firstPendingTask(job))
        compare({ "$jobId, preemptions" }, job.pendingPreemptions, preemptionsByJob[job] ?: 0)
    }

    private fun firstPendingTask(job: Job): Int {
        var first = 0
        for (chunk in job.chunks) {
            if (chunk == null) return first
            val pending = (chunk.first until chunk.first + chunk.size).firstOrNull { isPending(chunk, it) }
            if (pending != null) return pending
            first = chunk.first + chunk.size
        }
        return if (first < job.spec.taskCount) first else -1
    }

    private fun isPending(chunk: Chunk, task: Int) = !chunk.done.get(task - chunk.first) && task !in chunk.placements

    private fun recountTeams() {
        for (team in shardState.teams) {
            val name = shardState.settings.teams[team.value].name
            compare({ "CPUs of team $name" }, shardState.quota.usedCpus(team), cpusByTeam[team.value])
        }
    }

    private fun recountLimits() {
        compare({ "placements" }, shardState.placementLimits.placedCount, placementCount)
        compare({ "placements to store" }, shardState.placementLimits.unstoredCount, unstoredCount)
    }

    private fun recountMachines() {
        var placementsOnMachines = 0
        for (machine in shardState.machines.values) {
            placementsOnMachines += machine.placements.size
            recountMachine(machine)
        }
        compare({ "placements of all jobs, and on all machines" }, placementCount, placementsOnMachines)
    }

    private fun recountMachine(machine: Machine) {
        var cpus = 0.0
        var memoryGb = 0.0
        var services = 0
        var reportBytes = 0
        for (placement in machine.placements.values) {
            cpus += placement.job.spec.cpus
            memoryGb += placement.job.spec.memoryGb
            reportBytes += placement.job.spec.reportedTaskBytes
            if (placement.job.spec.isService) services++
            if (!isInShard(placement)) mismatches.add("machine ${machine.name}: ${placement.id} has ended")
        }
        val type = machine.machineType
        val usedCpus = (type?.cpus ?: 0.0) - machine.freeCpus - machine.unknownTaskCpus
        val usedMemoryGb = (type?.memoryGb ?: 0.0) - machine.freeMemoryGb - machine.unknownTaskMemoryGb
        compare({ "machine ${machine.name}, CPUs" }, usedCpus, cpus)
        compare({ "machine ${machine.name}, GB of memory" }, usedMemoryGb, memoryGb)
        val usedReportBytes =
            MessageSizes.MAX_REPORTED_TASKS_BYTES - machine.freeReportBytes - machine.unknownTaskReportBytes
        compare({ "machine ${machine.name}, bytes of a report" }, usedReportBytes, reportBytes)
        if (machine.runsServices != services > 0) mismatches.add("machine ${machine.name}: $services services")
    }

    /** Whether the placement is the current one of a task of an unfinished job, on a machine of the shard. */
    private fun isInShard(placement: Placement) = placement.job.isCurrent(placement) &&
        shardState.jobs[placement.job.spec.jobId] === placement.job &&
        shardState.machines[placement.machine.name] === placement.machine

    private fun recountPages() {
        val chunks = shardState.jobs.values.flatMap { it.chunks }.filterNotNull()
        val pages = chunks.mapNotNullTo(LinkedHashSet()) { it.page as ProgressPage? }
        for (page in pages) {
            for (format in PageFormat.entries) {
                val reserved = page.chunks.sumOf { format.maxBytesFor(it) }
                compare({ "page ${page.index}, bytes as $format" }, page.reservedIn(format), reserved)
            }
        }
        val unlisted = chunks.filter { it.page != null && it !in (it.page as ProgressPage).chunks }
        unlisted.forEach { mismatches.add("page of ${it.job.spec.jobId}, chunk ${it.index}: does not list it") }
    }

    private companion object {
        /** Of sums of decimals, which are added up in different orders. */
        const val TOLERANCE = 1e-6
    }
}
