package io.reedmast.model

import io.reedmast.wire.JobSpec
import io.reedmast.wire.MachineType
import io.reedmast.wire.MessageSizes
import io.reedmast.wire.TaskId
import io.reedmast.wire.WorkerStatus
import io.reedmast.wire.reportedTaskBytes

/**
 * The state of a machine, as known to the owner of its shard.
 *
 * Times are in ms of the controller's monotonic clock; 0 if the event has not occurred.
 *
 * @property machineType the machine type as offered by the cloud; null if the cloud does not offer it.
 * @property firstSeenAt when the owner learned of the machine; set again when [recordConflict] changes, for example
 *   when the owner of another shard has left the machine to this one.
 */
class Machine(
    record: MachineRecord,
    var machineType: MachineType?,
    firstSeenAt: Long,
    /**
     * The lowest token that, once seen by the worker, proves that no command of an earlier owner can take effect there.
     */
    var minimumToken: Long,
    private var facts: MachineFacts = MachineFacts(record.name),
) {
    val name: String = record.name

    /** The machine as stored in the records of the shard; without a type name if they do not contain it. */
    var record = record
        private set

    /** Whether the shard's records contain the machine; otherwise it is known only from a stored placement. */
    val isRecorded: Boolean get() = record.typeName.isNotEmpty()

    var firstSeenAt = firstSeenAt
        private set

    /** The address of its worker; null as long as it is not known. */
    var addr: String?
        get() = facts.addr
        set(value) {
            facts.addr = value
        }

    /** The images cached on the machine, least recently used first, with their sizes in GB. */
    val images: Map<String, Double> get() = facts.images

    /** The placements of tasks that run on the machine, or may run there. */
    val placements = LinkedHashMap<TaskId, Placement>()

    /** Whether the newest heartbeat was sent under this owner's token; only then is it known what runs there. */
    var isStateKnown = false

    /** Since when [isStateKnown] is true; before that, nothing could be placed here. */
    var stateKnownSince = 0L

    /** The epoch and sequence number of the newest heartbeat; before the first one, [sequence] is -1. */
    var epoch = 0L
    var sequence = -1L

    /** The highest token that the worker has reported. */
    var seenToken = 0L

    /** When the last heartbeat arrived that proves the worker to be alive: only one with this owner's token does. */
    var lastHeartbeatAt = firstSeenAt

    /** Whether the machine has ever been up; otherwise it may still be booting. */
    var everReported = false

    /** How many heartbeats were answered since the worker last proved that it had received an answer. */
    var unacknowledgedAnswers = 0

    /** When a heartbeat was last answered, and since when heartbeats have been answered without a long gap. */
    var answeredAt = 0L
    var regularHeartbeatsSince = 0L

    /** When a direct call last went unanswered; none is sent after that before the next heartbeat. */
    var unansweredDirectCallAt = 0L

    /** When the cloud takes the spot machine back, according to its notice; 0 if there is none. */
    var reclaimAt = 0L

    /** Why the machine is to leave the shard; null as long as it may stay. */
    var decommissionReason: DecommissionReason? = null

    /** Whether its return to the cloud is in progress. */
    var isReturning = false

    /** When it was marked for transfer to another shard. */
    var markedForTransferAt = 0L

    /** Since when there has been no placement on it. */
    var emptySince = firstSeenAt

    /** Jobs of which tasks failed here since the last success of any task. */
    val failedJobs = HashSet<String>()

    /** Whether the records of other shards also contain the machine. */
    var recordConflict = RecordConflict.NONE
        private set

    /** Since when [recordConflict] has had its value. */
    var conflictSince = 0L
        private set

    /** Whether the records of several shards contain the machine; then nothing is placed there, nor is it returned. */
    val isContested: Boolean get() = recordConflict != RecordConflict.NONE

    /**
     * Records whether the records of other shards also contain the machine. On a change, the times from which the
     * worker's silence is counted are reset: silence before this owner was the one to answer it proves nothing.
     */
    fun updateRecordConflict(conflict: RecordConflict, now: Long) {
        if (conflict == recordConflict) return
        if (decommissionReason != DecommissionReason.TRANSFER && !isReturning) decommissionReason = null
        recordConflict = conflict
        conflictSince = now
        firstSeenAt = now
        lastHeartbeatAt = now
        unacknowledgedAnswers = 0
    }

    /**
     * Called when the shard's records contain the machine, which was known only from a stored placement. Its placements
     * stay, with what is known about them. As for a new machine, what is on it is known once its worker has reported
     * [token]. If its return to the cloud is in progress, it still ends with that.
     */
    fun onRecorded(record: MachineRecord, machineType: MachineType?, facts: MachineFacts, token: Long, now: Long) {
        this.record = record
        this.machineType = machineType
        this.facts = facts
        minimumToken = token
        isStateKnown = false
        everReported = facts.addr != null
        firstSeenAt = now
        lastHeartbeatAt = now
        if (!isReturning) decommissionReason = null
    }

    /** The direct launches that may still start a task here. */
    val directLaunches = DirectLaunches()

    /** How many direct calls are waiting for a reply. */
    var pendingDirectCalls = 0

    /**
     * A token within the owner's range that only this worker is sent, and when it was last raised; 0 if it never was.
     */
    var raisedToken = 0L
    var tokenRaisedAt = 0L

    /** Records the epoch and token of the newest heartbeat; the worker refuses direct calls sent under earlier ones. */
    fun recordReportedToken(status: WorkerStatus) {
        if (status.epoch == epoch && status.token <= seenToken) return
        epoch = status.epoch
        seenToken = maxOf(seenToken, status.token)
        directLaunches.removeRefused(epoch, seenToken)
    }

    /** Whether the status is newer than all before. Messages may arrive out of order, and only the newest is valid. */
    fun isNewer(status: WorkerStatus): Boolean =
        status.epoch > epoch || (status.epoch == epoch && status.sequence > sequence)

    /** Resources used by reported tasks that have no placement. */
    var unknownTaskCpus = 0.0
    var unknownTaskGpus = 0.0
    var unknownTaskMemoryGb = 0.0

    /** What the tasks without a placement take in the worker's status, ended ones included, in bytes. */
    var unknownTaskReportBytes = 0

    private val used = PlacedUsage()

    val freeCpus: Double get() = (machineType?.cpus ?: 0.0) - used.cpus - unknownTaskCpus
    val freeGpus: Double get() = (machineType?.gpus ?: 0.0) - used.gpus - unknownTaskGpus
    val freeMemoryGb: Double get() = (machineType?.memoryGb ?: 0.0) - used.memoryGb - unknownTaskMemoryGb

    /** What the worker's status has room for, in bytes: it lists all tasks on the machine and is limited in size. */
    val freeReportBytes: Int get() =
        MessageSizes.MAX_REPORTED_TASKS_BYTES - used.reportBytes - unknownTaskReportBytes

    /** The price per hour of the machine as rented, on-demand or spot; 0 if its type is not known. */
    val hourlyPrice: Double get() {
        val type = machineType ?: return 0.0
        return if (record.spot) type.spotPrice ?: type.hourlyPrice else type.hourlyPrice
    }

    /** Whether a service is placed here. Services run for long, so until they end the machine is paid for anyway. */
    val runsServices: Boolean get() = used.hasServices

    /** Whether this is an on-demand machine with services on it, where further services should be placed. */
    val isPreferredForServices: Boolean get() = runsServices && !record.spot

    /** Whether tasks may be placed here: no more are while the worker may not be receiving this owner's answers. */
    val usable: Boolean get() = isStateKnown && decommissionReason == null && !isReturning && machineType != null &&
        unacknowledgedAnswers < MAX_UNACKNOWLEDGED_ANSWERS && !isContested

    /**
     * Chunks of placements that have ended here. Until such a chunk is stored, a stored page may still contain the
     * placement.
     */
    private val chunksOfEndedPlacements = HashSet<Chunk>()

    /** Whether there are no placements here, neither in memory nor in what the next owner would read from the store. */
    val isDurablyEmpty: Boolean get() = placements.isEmpty() && chunksOfEndedPlacements.all { it.isStored }

    /** Adds the placement and counts the resources that it uses. */
    fun add(placement: Placement) {
        require(placement.machine === this) {
            "task ${placement.id} is placed on machine ${placement.machine.name}, not on $name"
        }
        placements[placement.id] = placement
        used.add(placement.job)
    }

    /** Removes the placement and its resources, if it is still the current one of its task. */
    fun remove(placement: Placement) {
        if (!placements.remove(placement.id, placement)) return
        chunksOfEndedPlacements.removeIf { it.isStored }
        chunksOfEndedPlacements.add(placement.job.chunkOf(placement.task))
        used.remove(placement.job)
    }

    /** Whether the machine has these resources free. */
    fun fits(cpus: Double, gpus: Double, memoryGb: Double): Boolean =
        cpus <= freeCpus + EPSILON && gpus <= freeGpus + EPSILON && memoryGb <= freeMemoryGb + EPSILON

    /**
     * Whether the worker's status has room for one more task of the job. Tasks that take more of the status than of the
     * machine leave an eighth of it free, and another eighth if one of their job is here already: many small tasks keep
     * no other job from the machine.
     */
    fun hasReportRoom(job: Job): Boolean {
        val kept = when {
            !isSmall(job.spec) -> 0
            job !in used -> RESERVED_REPORT_BYTES
            else -> 2 * RESERVED_REPORT_BYTES
        }
        return job.spec.reportedTaskBytes <= freeReportBytes - kept
    }

    /** Whether a task takes a larger share of the worker's status than of the machine's resources. */
    private fun isSmall(spec: JobSpec): Boolean {
        val type = machineType ?: return false
        val reportShare = spec.reportedTaskBytes.toDouble() / MessageSizes.MAX_REPORTED_TASKS_BYTES
        return spec.cpus < reportShare * type.cpus && spec.gpus <= reportShare * type.gpus &&
            spec.memoryGb < reportShare * type.memoryGb
    }

    /** Records that the image is used here. Older images are evicted according to the machine type's cache size. */
    fun recordImage(image: String, imageGb: Double) = facts.recordImage(image, imageGb, machineType?.cacheGb ?: 0.0)

    companion object {
        private const val RESERVED_REPORT_BYTES = MessageSizes.MAX_REPORTED_TASKS_BYTES / 8

        /** Tolerance of comparisons between sums of decimals. */
        const val EPSILON = 1e-9

        /**
         * How many unacknowledged answers in a row stop placements here. A single one may still be on its way.
         */
        private const val MAX_UNACKNOWLEDGED_ANSWERS = 3

        /** How many unacknowledged answers in a row cause the machine to be replaced. */
        const val UNREACHABLE_AFTER_ANSWERS = 5
    }
}
