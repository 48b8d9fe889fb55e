package io.reedmast.wire

/** The priorities of the protocol, most urgent first. */
enum class Priority(val wire: String) {
    PRODUCTION("production"),
    URGENT("urgent"),
    STANDARD("standard"),
    BEST_EFFORT("best_effort"),
    ;

    /**
     * Work of the lowest rank declares no minimum run time: it is not charged, and any funded request may take its
     * place.
     */
    val isFunded: Boolean get() = this != BEST_EFFORT

    companion object {
        fun of(text: String): Priority =
            entries.firstOrNull { it.wire == text } ?: throw MalformedException("rank is unknown: $text")
    }
}

/** How the tasks of a job belong together. */
enum class JobShape(val wire: String) {
    /** Independent tasks, each of which runs to completion. */
    ARRAY("array"),

    /** Replicas that run until the job is cancelled. */
    SERVICE("service"),

    /** All tasks run at the same time, or none does; they complete together. */
    GANG("gang"),
    ;

    companion object {
        fun of(text: String): JobShape =
            entries.firstOrNull { it.wire == text } ?: throw MalformedException("shape is unknown: $text")
    }
}

/** A job as its user described it. */
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
    val service: Boolean get() = shape == JobShape.SERVICE
    val gang: Boolean get() = shape == JobShape.GANG
    val resumable: Boolean get() = checkpointS > 0.0

    fun toFields(): Fields = mapOf(
        "ref" to jobId,
        "lot" to jobClass,
        "crew" to teamName,
        "shape" to shape.wire,
        "rank" to priority.wire,
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
        const val MAX_TASKS = 100_000L
        private val JOB_ID = Regex("wk-[0-9]{1,18}")
        private const val MAX_NAME = 200

        /** Users' ids are always of this form, and only what has it can ever have been accepted. */
        fun isJobId(text: String): Boolean = JOB_ID.matches(text)

        fun parse(fields: Fields): JobSpec {
            val jobId = fields.text("ref")
            if (!isJobId(jobId)) throw MalformedException("ref is not of the usual form")
            val taskCount = fields.count("pieces")
            if (taskCount < 1 || taskCount > MAX_TASKS) throw MalformedException("pieces is out of range")
            val cpus = fields.amount("cpus")
            val gpus = fields.amount("gpus")
            val memoryGb = fields.amount("memGb")
            if (cpus == 0.0 && gpus == 0.0 &&
                memoryGb == 0.0
            ) {
                throw MalformedException("a task must take something of its machine")
            }
            return JobSpec(
                jobId = jobId,
                jobClass = fields.text("lot").limited("lot"),
                teamName = fields.text("crew").limited("crew"),
                shape = JobShape.of(fields.text("shape")),
                priority = Priority.of(fields.text("rank")),
                taskCount = taskCount.toInt(),
                cpus = cpus,
                gpus = gpus,
                memoryGb = memoryGb,
                image = fields.text("bundle").limited("bundle"),
                imageGb = fields.amount("sizeGb"),
                allowedTypes = fields.optionalTexts("builds")?.onEach { it.limited("builds") },
                zone = fields.optionalText("yard")?.limited("yard"),
                oneZone = fields.flag("oneZone"),
                spread = fields.flag("apart"),
                spot = fields.flag("driftwood"),
                estimateS = fields.amount("guessS"),
                checkpointS = fields.amount("markS"),
                saveS = fields.amount("stowS"),
                deadlineS = fields.optionalAmount("dueS"),
            )
        }

        private fun String.limited(name: String): String = if (length >
            MAX_NAME
        ) {
            throw MalformedException("$name is too long")
        } else {
            this
        }
    }
}
