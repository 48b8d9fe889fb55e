package io.reedmast.wire

/**
 * A job as its user submitted it (PROTOCOL, POST /submissions). Durations are in seconds, sizes in GB.
 *
 * @property jobClass the class of the job; objectives are set for classes.
 * @property taskCount number of tasks, from 1 to [MAX_TASKS].
 * @property cpus what each task takes of its machine; [gpus] and [memoryGb] likewise.
 * @property image the image that a machine must have fetched before a task can start; [imageGb] is its size.
 * @property allowedTypes labels of the machine types that it may use; null: any.
 * @property zone the only zone that it may use; null: any.
 * @property oneZone whether all tasks must be in the same zone.
 * @property spread whether at most half of the tasks, rounded up, may be in one zone.
 * @property spot whether it may use spot machines.
 * @property estimateS its owner's estimate of a task's run time without the image fetch; 0 for services.
 * @property checkpointS the interval of progress after which a task saves a checkpoint; 0: it never saves.
 * @property saveS how long a task takes to save when it is stopped.
 * @property deadlineS the time from its submission within which the job should be complete; null: no deadline.
 */
data class JobSpec(
    val jobId: String,
    val jobClass: String,
    val teamName: String,
    val shape: JobShape,
    val priority: Priority,
    val taskCount: Int,
    val cpus: Double,
    val gpus: Double,
    val memoryGb: Double,
    val image: String,
    val imageGb: Double,
    val allowedTypes: List<String>?,
    val zone: String?,
    val oneZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimateS: Double,
    val checkpointS: Double,
    val saveS: Double,
    val deadlineS: Double?,
) {
    /** Whether its tasks run until it is cancelled. */
    val isService: Boolean get() = shape == JobShape.SERVICE

    /** Whether its tasks run at the same time or not at all. */
    val isGang: Boolean get() = shape == JobShape.GANG

    /** Whether a task that was stopped can resume from its last checkpoint. */
    val resumable: Boolean get() = checkpointS > 0.0

    /** The fields of the job, as [parse] reads them and as its record stores them. */
    fun toFields(): Fields = mapOf(
        "ref" to jobId,
        "lot" to jobClass,
        "crew" to teamName,
        "shape" to shape.wireName,
        "rank" to priority.wireName,
        "pieces" to taskCount,
        "cpus" to cpus,
        "gpus" to gpus,
        "memGb" to memoryGb,
        "bundle" to image,
        "sizeGb" to imageGb,
        "builds" to allowedTypes,
        "yard" to zone,
        "oneZone" to oneZone,
        "apart" to spread,
        "driftwood" to spot,
        "guessS" to estimateS,
        "markS" to checkpointS,
        "stowS" to saveS,
        "dueS" to deadlineS,
    )

    companion object {
        /** The protocol's limit on the tasks of a job. */
        const val MAX_TASKS = 100_000L
        private val JOB_ID = Regex("wk-[0-9]{1,18}")
        private const val MAX_NAME_LENGTH = 200

        /** Whether [text] has the form of all job ids; no job with an id of another form can have been accepted. */
        fun isJobId(text: String): Boolean = JOB_ID.matches(text)

        /** Reads a submission or a record; throws [MalformedException] for the first field that is not valid. */
        fun parse(fields: Fields): JobSpec {
            val jobId = jobId(fields)
            val taskCount = taskCount(fields)
            val cpus = fields.amount("cpus")
            val gpus = fields.amount("gpus")
            val memoryGb = fields.amount("memGb")
            requireSomeResource(cpus, gpus, memoryGb)
            return JobSpec(
                jobId = jobId,
                jobClass = requireNameLength("lot", fields.text("lot")),
                teamName = requireNameLength("crew", fields.text("crew")),
                shape = JobShape.of(fields.text("shape")),
                priority = Priority.of(fields.text("rank")),
                taskCount = taskCount,
                cpus = cpus,
                gpus = gpus,
                memoryGb = memoryGb,
                image = requireNameLength("bundle", fields.text("bundle")),
                imageGb = fields.amount("sizeGb"),
                allowedTypes = fields.optionalTexts("builds")?.map { requireNameLength("builds", it) },
                zone = fields.optionalText("yard")?.let { requireNameLength("yard", it) },
                oneZone = fields.flag("oneZone"),
                spread = fields.flag("apart"),
                spot = fields.flag("driftwood"),
                estimateS = fields.amount("guessS"),
                checkpointS = fields.amount("markS"),
                saveS = fields.amount("stowS"),
                deadlineS = fields.optionalAmount("dueS"),
            )
        }

        private fun jobId(fields: Fields): String {
            val jobId = fields.text("ref")
            if (!isJobId(jobId)) throw MalformedException("ref is not of the usual form")
            return jobId
        }

        private fun taskCount(fields: Fields): Int {
            val taskCount = fields.count("pieces")
            if (taskCount !in 1..MAX_TASKS) throw MalformedException("pieces is out of range")
            return taskCount.toInt()
        }

        private fun requireSomeResource(cpus: Double, gpus: Double, memoryGb: Double) {
            if (cpus == 0.0 && gpus == 0.0 && memoryGb == 0.0) {
                throw MalformedException("a task must take something of its machine")
            }
        }

        private fun requireNameLength(name: String, text: String): String {
            if (text.length > MAX_NAME_LENGTH) throw MalformedException("$name is too long")
            return text
        }
    }
}
