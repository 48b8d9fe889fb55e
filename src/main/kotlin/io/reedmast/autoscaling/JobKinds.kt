package io.reedmast.autoscaling

import io.reedmast.wire.JobSpec

/** The minimum number of tasks with which the job can start: a gang starts as a whole, other jobs task by task. */
internal fun minTasksToStart(spec: JobSpec): Int = if (spec.isGang) spec.taskCount else 1

/** Whether the job is an array: its tasks run to completion independently of each other. */
internal fun isArray(spec: JobSpec): Boolean = !spec.isService && !spec.isGang
