package io.reedmast.heartbeats

import io.reedmast.model.FencingToken
import io.reedmast.model.Machine
import io.reedmast.model.RecordConflict
import io.reedmast.model.ShardState
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/**
 * Decides what a worker's status proves, and records what it shows of the machine itself: its epoch, address, notice
 * and token. The tasks that it lists are not looked at here.
 *
 * Only a status made under this owner's token counts: an older owner's commands may reach the worker until it has seen
 * that token (PROTOCOL, Tokens).
 */
internal class StatusEvaluator(
    private val shardState: ShardState,
    /** Asks for a fresh token for the shard: a worker has seen a higher one than this owner's. */
    private val renewToken: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("shard")
    private val leaseMs = shardState.settings.workers.leaseS * MS_PER_S

    /** Records what [status] shows of [machine], and returns what it proves. */
    fun evaluate(machine: Machine, status: WorkerStatus, source: StatusSource, now: Long): StatusEvidence {
        val evidence = evidenceOf(machine, status)
        if (evidence == StatusEvidence.OUTDATED) return evidence
        recordMachineState(machine, status, now)
        val isAnswered = source == StatusSource.HEARTBEAT && evidence != StatusEvidence.HIGHER_TOKEN_SEEN
        if (isAnswered) recordAnswer(machine, now)
        when (evidence) {
            StatusEvidence.OUTDATED -> {}

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
     * Whether the worker has seen the higher token of another shard's owner, which answers it: earlier owners of this
     * shard are as void as under our own token, and a higher one of ours would only take the worker from that owner.
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
     * The worker's lease expired (PROTOCOL, Leases). While its heartbeats came and were answered, that means that our
     * answers do not arrive.
     *
     * A machine that hung, or was cut off, has sent nothing for a whole lease.
     */
    private fun onLeaseExpired(machine: Machine, now: Long) {
        val wasAnsweredRecently = now - machine.answeredAt < leaseMs / 2
        val wasAnsweredThroughout = now - machine.regularHeartbeatsSince > leaseMs * MIN_ANSWERED_LEASE_FRACTION
        if (wasAnsweredRecently && wasAnsweredThroughout) {
            machine.unacknowledgedAnswers = maxOf(machine.unacknowledgedAnswers, Machine.UNREACHABLE_AFTER_ANSWERS)
            log.info("machine {}: its lease expired although its heartbeats were answered", machine.name)
        }
    }

    /** Records in how many seconds the cloud takes the machine back; null if it has given no notice. */
    private fun recordReclaimNotice(machine: Machine, noticeS: Double?, now: Long) {
        if (noticeS == null) {
            machine.reclaimAt = 0L
            return
        }
        if (machine.reclaimAt == 0L) {
            log.info("machine {}: the cloud takes it back in {} s", machine.name, noticeS)
        }
        machine.reclaimAt = now + (noticeS * MS_PER_S).toLong()
    }

    /** The heartbeat is answered now. A gap of half a lease interrupts the regular answers. */
    private fun recordAnswer(machine: Machine, now: Long) {
        if (now - machine.answeredAt > leaseMs / 2) machine.regularHeartbeatsSince = now
        machine.answeredAt = now
    }

    /** The worker is alive under our token. From its first such status on, what is on the machine is known. */
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

        /** Of a lease that expired, the part for which heartbeats must have been answered to blame the answers. */
        const val MIN_ANSWERED_LEASE_FRACTION = 0.8
    }
}
