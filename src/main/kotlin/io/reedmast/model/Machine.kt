package io.reedmast.model

import io.reedmast.wire.MachineType
import io.reedmast.wire.TaskId
import io.reedmast.wire.WorkerStatus

/** The worker's session and the token that a direct launch was sent under. */
data class DirectLaunch(val epoch: Long, val token: Long)

/** What the owner of a shard knows of one of its machines. */
class Machine(
    val record: MachineRecord,
    var machineType: MachineType?,
    val firstSeenAt: Long,
    /**
     * The lowest token that proves, once the worker has seen it, that no earlier owner's command can arrive any more.
     */
    var floor: Long,
    private val facts: MachineFacts = MachineFacts(record.name),
) {
    val name: String get() = record.name
    var addr: String? by facts::addr
    val images: Map<String, Double> get() = facts.images
    val placements = LinkedHashMap<TaskId, Placement>()

    /** Newest report, if any came under this owner's token: only then is it known what is on the machine. */
    var trusted = false

    /** Since when: before, nothing could be placed here. */
    var trustedAt = 0L
    var epoch = 0L
    var sequence = -1L
    var seenToken = 0L

    /** When the last report came that proves the worker to be alive: only one that shows our token does. */
    var lastHeartbeatAt = firstSeenAt
    var everReported = false

    /** HeartbeatHandler answered since the worker last showed that an answer had reached it. */
    var unacknowledged = 0

    /** When the last report came that we answered, and since when they have come with no long gap. */
    var answeredAt = 0L
    var regularSince = 0L

    /** When a direct command last went unanswered: no more are sent before the next report. */
    var callUnansweredAt = 0L
    var noticeUntil = 0L
    var decommissionReason: DecommissionReason? = null
    var returning = false

    /** Since when it is marked to move to another shard. */
    var movingSince = 0L
    var emptySince = firstSeenAt

    /** What reported tasks take that no placement accounts for. */
    var unknownTaskCpus = 0.0
    var unknownTaskGpus = 0.0
    var unknownTaskMemoryGb = 0.0

    /**
     * Direct launches by attempt, answered or not: the call, or one more copy of it, may arrive late and is carried out
     * as long as session and token are still those it was sent under.
     */
    private val launches = HashMap<Pair<TaskId, Long>, DirectLaunch>()

    /** Direct calls that wait for their answer. */
    var directCalls = 0

    /**
     * A token within its owner's range that this worker alone is shown, 0 if it never was; and when it last was raised.
     */
    var raisedTo = 0L
    var raisedAt = 0L

    /** Jobs that failed here since the last success. */
    val failedJobs = HashSet<String>()

    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemoryGb = 0.0

    val freeCpus: Double get() = (machineType?.cpus ?: 0.0) - usedCpus - unknownTaskCpus
    val freeGpus: Double get() = (machineType?.gpus ?: 0.0) - usedGpus - unknownTaskGpus
    val freeMemoryGb: Double get() = (machineType?.memoryGb ?: 0.0) - usedMemoryGb - unknownTaskMemoryGb
    val hourlyPrice: Double get() = machineType?.let {
        if (record.spot) it.spotPrice ?: it.hourlyPrice else it.hourlyPrice
    }
        ?: 0.0

    private var services = 0

    /** Services stay for long: while one is here, the machine is paid for anyway. */
    val held: Boolean get() = services > 0

    /** An ordinary machine with services on it: where the next ones should go. */
    val isServiceHome: Boolean get() = services > 0 && !record.spot

    /** Whether work may be placed here. A machine that may not hear us gets no more of it. */
    val usable: Boolean get() = trusted && decommissionReason == null && !returning && machineType != null &&
        unacknowledged < MAX_UNACKNOWLEDGED

    /**
     * Parts of jobs that have left the machine since they were last stored: a stored page may still name it for them.
     */
    private val left = HashSet<Chunk>()

    /** Whether nothing is here, and nobody who takes the shard over would think so. */
    val isEmptyAsStored: Boolean get() = placements.isEmpty() && left.all { it.stored }

    fun add(placement: Placement) {
        placements[placement.id] = placement
        usedCpus += placement.job.spec.cpus
        usedGpus += placement.job.spec.gpus
        usedMemoryGb += placement.job.spec.memoryGb
        if (placement.job.spec.service) services++
    }

    fun remove(placement: Placement) {
        if (placements.remove(placement.id, placement)) {
            left.removeIf { it.stored }
            left.add(placement.job.chunkOf(placement.task))
            usedCpus -= placement.job.spec.cpus
            usedGpus -= placement.job.spec.gpus
            usedMemoryGb -= placement.job.spec.memoryGb
            if (placement.job.spec.service) services--
            if (placements.isEmpty()) {
                // Sums of decimals drift; an empty machine is exactly empty.
                usedCpus = 0.0
                usedGpus = 0.0
                usedMemoryGb = 0.0
            }
        }
    }

    fun fits(cpus: Double, gpus: Double, memoryGb: Double): Boolean =
        cpus <= freeCpus + EPSILON && gpus <= freeGpus + EPSILON && memoryGb <= freeMemoryGb + EPSILON

    fun recordLaunch(id: TaskId, attempt: Long, launch: DirectLaunch) {
        launches[id to attempt] = launch
    }

    /** The call of that launch did not leave: no connection was made. */
    fun recordNotSent(id: TaskId, attempt: Long) {
        launches.remove(id to attempt)
    }

    /** Whether a direct launch of this attempt, or a copy of one that was carried out, may still run here. */
    fun mayLaunch(id: TaskId, attempt: Long): Boolean = (id to attempt) in launches

    /** Takes up what the newest report shows of session and token: earlier direct calls are refused from then on. */
    fun show(status: WorkerStatus) {
        if (status.epoch == epoch && status.token <= seenToken) return
        epoch = status.epoch
        seenToken = maxOf(seenToken, status.token)
        launches.values.removeIf { it.epoch < epoch || it.token < seenToken }
    }

    /** Messages overtake each other; only the newest says what is on the machine. */
    fun isNewer(status: WorkerStatus): Boolean =
        status.epoch > epoch || (status.epoch == epoch && status.sequence > sequence)

    fun recordImage(image: String, imageGb: Double) = facts.recordImage(image, imageGb, machineType?.cacheGb ?: 0.0)

    companion object {
        const val EPSILON = 1e-9

        /**
         * Answers in a row that seem not to have arrived, from which on nothing more is placed: one may be on the way.
         */
        private const val MAX_UNACKNOWLEDGED = 3

        /** From which on the machine is replaced. */
        const val UNREACHABLE_AFTER = 5
    }
}
