package io.reedmast.model

import io.reedmast.wire.MachineType
import io.reedmast.wire.TaskId
import io.reedmast.wire.WorkerStatus

/** The worker's epoch and the token that a direct launch was sent under. */
data class DirectLaunch(val epoch: Long, val token: Long)

/**
 * What the owner of a shard knows of one of its machines.
 *
 * Times are of the controller's monotonic clock, in ms; 0 if the event has not occurred.
 *
 * @property record the machine as the records name it.
 * @property machineType what the cloud says of machines of its type; null if it does not offer the type.
 * @property firstSeenAt when the owner learned of the machine, or was left with it by the owner of another shard.
 */
class Machine(
    val record: MachineRecord,
    var machineType: MachineType?,
    firstSeenAt: Long,
    /**
     * The lowest token that proves, once the worker has seen it, that no earlier owner's command can arrive any more.
     */
    var minimumToken: Long,
    private val facts: MachineFacts = MachineFacts(record.name),
) {
    val name: String get() = record.name

    var firstSeenAt = firstSeenAt
        private set

    /** Where its worker listens; null as long as it is not known. */
    var addr: String? by facts::addr

    /** The images that it has, least recently used first, with their sizes in GB. */
    val images: Map<String, Double> get() = facts.images

    /** What is on the machine, or may be. */
    val placements = LinkedHashMap<TaskId, Placement>()

    // ---- heartbeats -------------------------------------------------------------------------------------------------

    /** Whether the newest heartbeat came under this owner's token: only then is it known what is on the machine. */
    var isStateKnown = false

    /** Since when [isStateKnown] is true: before, nothing could be placed here. */
    var stateKnownSince = 0L

    /** Epoch and sequence of the newest heartbeat, -1 before the first one. */
    var epoch = 0L
    var sequence = -1L

    /** The highest token that the worker has shown. */
    var seenToken = 0L

    /** When the last heartbeat came that proves the worker to be alive: only one that shows our token does. */
    var lastHeartbeatAt = firstSeenAt

    /** Whether the machine has been up: one that has not may still be booting. */
    var everReported = false

    /** Heartbeats answered since the worker last showed that an answer had reached it. */
    var unacknowledgedAnswers = 0

    /** When the last heartbeat came that we answered, and since when they have come with no long gap. */
    var answeredAt = 0L
    var regularHeartbeatsSince = 0L

    /** When a direct command last went unanswered: no more are sent before the next heartbeat. */
    var unansweredDirectCallAt = 0L

    /** Until when a spot machine that the cloud wants back stays up; 0 without such a notice. */
    var reclaimAt = 0L

    // ---- lifecycle --------------------------------------------------------------------------------------------------

    /** Why the machine is to go; null as long as it may stay. */
    var decommissionReason: DecommissionReason? = null

    /** Whether its return to the cloud is under way. */
    var isReturning = false

    /** Since when it is marked to move to another shard. */
    var markedForTransferAt = 0L

    /** Since when nothing has been placed on it. */
    var emptySince = firstSeenAt

    /** Jobs that failed here since the last success. */
    val failedJobs = HashSet<String>()

    /** Whether the records of other shards name the machine too. */
    var recordConflict = RecordConflict.NONE
        private set

    /** Since when [recordConflict] is what it is. */
    var conflictSince = 0L
        private set

    /** Whether the records of several shards name the machine: nothing is placed there, and it is not returned. */
    val isContested: Boolean get() = recordConflict != RecordConflict.NONE

    /**
     * Records whether other shards' records name the machine too. What this owner has not heard of the worker says
     * nothing from before it was the one to answer it.
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

    // ---- direct commands --------------------------------------------------------------------------------------------

    private data class Attempt(val task: TaskId, val number: Long)

    /**
     * Direct launches by attempt, answered or not: the call, or one more copy of it, may arrive late and is carried out
     * as long as epoch and token are still those it was sent under (PROTOCOL, Delayed messages).
     */
    private val launches = HashMap<Attempt, DirectLaunch>()

    /** Direct calls that wait for their answer. */
    var pendingDirectCalls = 0

    /**
     * A token within its owner's range that this worker alone is shown, 0 if it never was; and when it last was raised.
     */
    var raisedToken = 0L
    var tokenRaisedAt = 0L

    /** Records that a launch of the attempt is sent to the worker directly. */
    fun recordLaunch(id: TaskId, attempt: Long, launch: DirectLaunch) {
        launches[Attempt(id, attempt)] = launch
    }

    /** The call of that launch did not leave: no connection was made. */
    fun recordLaunchNotSent(id: TaskId, attempt: Long) {
        launches.remove(Attempt(id, attempt))
    }

    /** Whether a direct launch of this attempt, or a copy of one that was carried out, may still run here. */
    fun mayStillLaunch(id: TaskId, attempt: Long): Boolean = Attempt(id, attempt) in launches

    /** Records the epoch and token of the newest heartbeat: earlier direct calls are refused from then on. */
    fun recordReportedToken(status: WorkerStatus) {
        if (status.epoch == epoch && status.token <= seenToken) return
        epoch = status.epoch
        seenToken = maxOf(seenToken, status.token)
        launches.values.removeIf { it.epoch < epoch || it.token < seenToken }
    }

    /** Messages overtake each other; only the newest says what is on the machine. */
    fun isNewer(status: WorkerStatus): Boolean =
        status.epoch > epoch || (status.epoch == epoch && status.sequence > sequence)

    // ---- capacity ---------------------------------------------------------------------------------------------------

    /** What reported tasks take that no placement accounts for. */
    var unknownTaskCpus = 0.0
    var unknownTaskGpus = 0.0
    var unknownTaskMemoryGb = 0.0

    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0
    private var services = 0

    val freeCpus: Double get() = (machineType?.cpus ?: 0.0) - usedCpus - unknownTaskCpus
    val freeGpus: Double get() = (machineType?.gpus ?: 0.0) - usedGpus - unknownTaskGpus
    val freeMemoryGb: Double get() = (machineType?.memoryGb ?: 0.0) - usedMemoryGb - unknownTaskMemoryGb

    /** What the machine costs an hour as it was rented, ordinary or spot; 0 if its type is not known. */
    val hourlyPrice: Double get() {
        val type = machineType ?: return 0.0
        return if (record.spot) type.spotPrice ?: type.hourlyPrice else type.hourlyPrice
    }

    /** Services stay for long: while one is here, the machine is paid for anyway. */
    val runsServices: Boolean get() = services > 0

    /** An ordinary machine with services on it: where the next ones should go. */
    val isPreferredForServices: Boolean get() = services > 0 && !record.spot

    /** Whether work may be placed here. A machine that may not hear us gets no more of it. */
    val usable: Boolean get() = isStateKnown && decommissionReason == null && !isReturning && machineType != null &&
        unacknowledgedAnswers < MAX_UNACKNOWLEDGED && !isContested

    /**
     * Parts of jobs that have left the machine since they were last stored: a stored page may still name it for them.
     */
    private val departedChunks = HashSet<Chunk>()

    /** Whether nothing is here, and nobody who acquires the shard would think so. */
    val isDurablyEmpty: Boolean get() = placements.isEmpty() && departedChunks.all { it.isStored }

    /** Counts what the placement takes. */
    fun add(placement: Placement) {
        require(placement.machine === this) { "${placement.id} is placed on ${placement.machine.name}, not on $name" }
        placements[placement.id] = placement
        usedCpus += placement.job.spec.cpus
        usedGpus += placement.job.spec.gpus
        usedMemoryGb += placement.job.spec.memoryGb
        if (placement.job.spec.isService) services++
    }

    /** Counts the placement no more, if it is still the one of its task. */
    fun remove(placement: Placement) {
        if (!placements.remove(placement.id, placement)) return
        departedChunks.removeIf { it.isStored }
        departedChunks.add(placement.job.chunkOf(placement.task))
        usedCpus -= placement.job.spec.cpus
        usedGpus -= placement.job.spec.gpus
        usedMemoryGb -= placement.job.spec.memoryGb
        if (placement.job.spec.isService) services--
        if (placements.isEmpty()) {
            // Sums of decimals drift; an empty machine is exactly empty.
            usedCpus = 0.0
            usedGpus = 0.0
            usedMemoryGb = 0.0
        }
    }

    /** Whether the machine has this much free. */
    fun fits(cpus: Double, gpus: Double, memoryGb: Double): Boolean =
        cpus <= freeCpus + EPSILON && gpus <= freeGpus + EPSILON && memoryGb <= freeMemoryGb + EPSILON

    /** The image is used here; which of the older ones that leaves depends on the room for images of the type. */
    fun recordImage(image: String, imageGb: Double) = facts.recordImage(image, imageGb, machineType?.cacheGb ?: 0.0)

    companion object {
        /** Tolerance of comparisons between sums of decimals. */
        const val EPSILON = 1e-9

        /**
         * Answers in a row that seem not to have arrived, from which on nothing more is placed: one may be on the way.
         */
        private const val MAX_UNACKNOWLEDGED = 3

        /** From which on the machine is replaced. */
        const val UNREACHABLE_AFTER_ANSWERS = 5
    }
}
