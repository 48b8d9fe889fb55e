package io.reedmast.scheduling

import io.reedmast.model.Job
import io.reedmast.model.ShardState

/**
 * The order of a team's jobs: by priority; then underserved jobs, of which one task is placed at a time, before others;
 * then gangs before others; then by deadline.
 */
internal fun queueOrder(shardState: ShardState): Comparator<Job> = compareBy(
    { it.spec.priority },
    { !shardState.urgency.isUnderserved(it) },
    { !it.spec.isGang },
    { shardState.urgency.deadlineMs(it) },
)

/**
 * The order of teams by fair share, each represented by its first job: teams that stay within their guarantee with one
 * more task of that job come before others; then by the ratio of charged use to allocation, lowest first.
 */
internal fun fairShareOrder(shardState: ShardState, wallMs: Long): Comparator<Job> = compareBy(
    { !shardState.quota.isWithinGuarantee(it.team, it.spec) },
    { shardState.fairShare.usageRatio(it.team, wallMs) },
)
