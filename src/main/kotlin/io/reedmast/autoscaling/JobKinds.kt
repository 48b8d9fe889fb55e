package io.reedmast.autoscaling

import io.reedmast.wire.JobSpec

/** How many tasks of the job start at once, or not at all: a gang starts as a whole. */
internal fun minTasksToStart(spec: JobSpec): Int = if (spec.isGang) spec.taskCount else 1

/** Whether the job's tasks run to their end independently of each other. */
internal fun isArray(spec: JobSpec): Boolean = !spec.isService && !spec.isGang
