package io.reedmast.heartbeats

import io.reedmast.model.FencingToken
import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.model.ShardState
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * Classifies a worker's status as [StatusEvidence], and records the state of the machine itself that it reports: epoch,
 * address, reclaim notice and token. The tasks in the status are not handled here.
 *
 * Only a status made under this owner's token counts: until the worker has seen that token, an earlier owner's commands
 * may still reach it (PROTOCOL, Tokens).
 */
internal class StatusEvaluator(
    private val shardState: ShardState,
    /** Requests a new token for the shard, because a worker has seen a higher one than this owner's. */
    private val renewToken: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val leaseMs = shardState.settings.workers.leaseS * MS_PER_S

    /**
     * Classifies [status] and, unless it is [StatusEvidence.OUTDATED], records the state of [machine] that it reports.
     */
    fun evaluate(machine: Machine, status: WorkerStatus, source: StatusSource, now: Long): StatusEvidence {
        val evidence = evidenceOf(machine, status)
        if (evidence == StatusEvidence.OUTDATED) return evidence
        recordMachineState(machine, status, now)
        val isAnswered = source == StatusSource.HEARTBEAT && evidence != StatusEvidence.HIGHER_TOKEN_SEEN
        if (isAnswered) recordAnswer(machine, now)
        when (evidence) {
            StatusEvidence.UNKNOWN_MACHINE, StatusEvidence.OUTDATED -> {}

            StatusEvidence.HIGHER_TOKEN_SEEN -> {
                machine.isStateKnown = false
                renewToken()
            }

            StatusEvidence.OWN_TOKEN_NOT_SEEN -> if (isAnswered) machine.unacknowledgedAnswers++

            StatusEvidence.CURRENT -> recordContact(machine, now)
        }
        return evidence
    }

    private fun evidenceOf(machine: Machine, status: WorkerStatus) = when {
        !machine.isNewer(status) -> StatusEvidence.OUTDATED
        isTokenOfAnsweringShard(machine, status) -> StatusEvidence.CURRENT
        status.token > FencingToken.lastOfRange(shardState.token) -> StatusEvidence.HIGHER_TOKEN_SEEN
        status.token < machine.minimumToken -> StatusEvidence.OWN_TOKEN_NOT_SEEN
        else -> StatusEvidence.CURRENT
    }

    /**
     * Whether the worker has seen the higher token of another shard's owner, which answers it. That token invalidates
     * the commands of earlier owners of this shard as well as this owner's token would, and a higher token of this
     * owner would only take the worker away from the other one.
     */
    private fun isTokenOfAnsweringShard(machine: Machine, status: WorkerStatus) =
        machine.recordConflict == RecordConflict.ANSWERED_ELSEWHERE &&
            status.token > FencingToken.lastOfRange(shardState.token)

    private fun recordMachineState(machine: Machine, status: WorkerStatus, now: Long) {
        if (status.epoch > machine.epoch && machine.everReported) onLeaseExpired(machine, now)
        machine.addr = status.addr
        machine.recordReportedToken(status)
        machine.sequence = status.sequence
        recordReclaimNotice(machine, status.noticeS, now)
    }

    /**
     * Called when the worker's lease has expired (PROTOCOL, Leases). If its heartbeats arrived and were answered all
     * the while, the answers do not reach the worker.
     *
     * A machine that hung or was cut off has, in contrast, sent nothing for a whole lease.
     */
    private fun onLeaseExpired(machine: Machine, now: Long) {
        val wasAnsweredRecently = now - machine.answeredAt < leaseMs / 2
        val wasAnsweredThroughout = now - machine.regularHeartbeatsSince > leaseMs * MIN_ANSWERED_LEASE_FRACTION
        if (wasAnsweredRecently && wasAnsweredThroughout) {
            machine.unacknowledgedAnswers = maxOf(machine.unacknowledgedAnswers, Machine.UNREACHABLE_AFTER_ANSWERS)
            log.info("machine {}: its lease expired although its heartbeats were answered", machine.name)
        }
    }

    /** Records that the cloud reclaims the machine in [noticeS] seconds; null if it has given no notice. */
    private fun recordReclaimNotice(machine: Machine, noticeS: Double?, now: Long) {
        if (noticeS == null) {
            machine.reclaimAt = 0L
            return
        }
        if (machine.reclaimAt == 0L) {
            log.info("machine {}: to be reclaimed by the cloud in {} s", machine.name, noticeS)
        }
        machine.reclaimAt = now + (noticeS * MS_PER_S).toLong()
    }

    /** Records that a heartbeat is answered now. A gap of more than half a lease restarts the regular heartbeats. */
    private fun recordAnswer(machine: Machine, now: Long) {
        if (now - machine.answeredAt > leaseMs / 2) machine.regularHeartbeatsSince = now
        machine.answeredAt = now
    }

    /**
     * Records that a current status proves the worker to be alive. From the first one on, it is known what is on the
     * machine.
     */
    private fun recordContact(machine: Machine, now: Long) {
        machine.lastHeartbeatAt = now
        machine.everReported = true
        if (machine.isStateKnown) return
        machine.isStateKnown = true
        machine.stateKnownSince = now
        machine.unacknowledgedAnswers = 0
        shardState.schedulingPassRequested = true
    }

    private companion object {
        const val MS_PER_S = 1000.0

        /**
         * The part of an expired lease for which heartbeats must have been answered to conclude that answers were lost.
         */
        const val MIN_ANSWERED_LEASE_FRACTION = 0.8
    }
}
