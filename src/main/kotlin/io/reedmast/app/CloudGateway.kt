package io.reedmast.app

import com.google.common.util.concurrent.RateLimiter
import io.reedmast.ports.Cloud
import io.reedmast.ports.CloudListing
import io.reedmast.ports.ProvisioningRequest
import io.reedmast.ports.ProvisioningResult
import io.reedmast.ports.ReturnResult
import io.reedmast.settings.Settings
import io.reedmast.wire.CloudMessages
import io.reedmast.wire.Fields
import io.reedmast.wire.HttpCaller
import io.reedmast.wire.ListedMachine
import io.reedmast.wire.MachineType
import io.reedmast.wire.MalformedException
import io.reedmast.wire.Reply
import org.slf4j.LoggerFactory
import java.net.HttpURLConnection
import java.util.concurrent.TimeUnit

/** Client of the cloud's API, which keeps within this controller's share of the cloud's rate limit. */
internal class CloudGateway(private val settings: Settings, private val calls: AsyncCalls) : Cloud {
    private val log = LoggerFactory.getLogger("cloud")
    private val pool = WorkPool("cloud", THREADS, MAX_QUEUED_CALLS)
    private val caller = HttpCaller(CONNECT_MS, READ_MS)
    private val rateLimiter = RateLimiter.create(settings.cloudLimits.requestsPerS / settings.members.size)

    /** Sets this controller's share of the rate limit. The leader rents and lists; the others only return machines. */
    fun shareLimit(aliveControllers: Int, leading: Boolean) {
        val share = when {
            aliveControllers == 1 -> 1.0
            leading -> LEADER_SHARE
            else -> (1.0 - LEADER_SHARE) / (aliveControllers - 1)
        }
        rateLimiter.rate = settings.cloudLimits.requestsPerS * share * SAFETY_FACTOR
    }

    override fun provision(request: ProvisioningRequest, done: (ProvisioningResult) -> Unit) {
        val body =
            CloudMessages.rentalRequest(
                request.requestName,
                request.typeName,
                request.zone,
                request.spot,
                request.count,
            )
        calls.call(pool, { provisioningResult(send("POST", "/machines", body)) }, ProvisioningResult.Failed, done)
    }

    private fun provisioningResult(reply: Reply): ProvisioningResult {
        if (reply !is Reply.Answer) return ProvisioningResult.Failed
        return when (reply.status) {
            HttpURLConnection.HTTP_OK ->
                parseOrNull { ProvisioningResult.Machines(CloudMessages.rentedMachines(reply.body)) }
                    ?: ProvisioningResult.Failed
            HttpURLConnection.HTTP_UNAVAILABLE ->
                if (CloudMessages.isOutOfCapacity(reply.body)) {
                    ProvisioningResult.NoCapacity
                } else {
                    ProvisioningResult.Failed
                }
            HttpURLConnection.HTTP_BAD_REQUEST -> ProvisioningResult.NoCapacity
            else -> ProvisioningResult.Failed
        }
    }

    override fun returnMachines(machineNames: List<String>, done: (ReturnResult) -> Unit) =
        calls.call(pool, { returnResult(machineNames) }, ReturnResult.UNCONFIRMED, done, MAX_RETURN_WAIT_MS)

    private fun returnResult(machineNames: List<String>): ReturnResult {
        val reply = send("POST", "/machines/return", CloudMessages.returnRequest(machineNames))
        return if (okAnswer(reply) == null) ReturnResult.UNCONFIRMED else ReturnResult.CONFIRMED
    }

    override fun listMachines(done: (CloudListing<ListedMachine>) -> Unit) =
        calls.call(pool, ::readAllMachines, CloudListing.Unavailable, done)

    private fun readAllMachines(): CloudListing<ListedMachine> {
        val machines = ArrayList<ListedMachine>()
        do {
            val page = readPage(machines.lastOrNull()) ?: return CloudListing.Unavailable
            machines.addAll(page.machines)
        } while (page.hasMore)
        return CloudListing.Complete(machines)
    }

    /** One page of the list of machines; [hasMore] if further pages follow. */
    private class MachinePage(val machines: List<ListedMachine>, val hasMore: Boolean)

    private fun readPage(last: ListedMachine?): MachinePage? {
        val after = last?.let { "after=${it.name}&" }.orEmpty()
        val answer = okAnswer(send("GET", "/machines?${after}most=$MACHINES_PER_PAGE")) ?: return null
        return parseOrNull {
            MachinePage(CloudMessages.listedMachines(answer.body), CloudMessages.hasMore(answer.body))
        }
    }

    override fun machineTypes(done: (CloudListing<MachineType>) -> Unit) =
        calls.call(pool, ::readMachineTypes, CloudListing.Unavailable, done)

    private fun readMachineTypes(): CloudListing<MachineType> {
        val answer = okAnswer(send("GET", "/flavors")) ?: return CloudListing.Unavailable
        return parseOrNull { CloudListing.Complete(MachineType.parseAll(answer.body)) } ?: CloudListing.Unavailable
    }

    private fun okAnswer(reply: Reply): Reply.Answer? =
        (reply as? Reply.Answer)?.takeIf { it.status == HttpURLConnection.HTTP_OK }

    private fun send(method: String, path: String, body: Fields? = null): Reply {
        if (!rateLimiter.tryAcquire(MAX_PERMIT_WAIT_S, TimeUnit.SECONDS)) {
            return Reply.NotSent("no permit within $MAX_PERMIT_WAIT_S s: over this controller's share of the limit")
        }
        val reply = caller.call(method, settings.cloudAddress, path, body)
        if (okAnswer(reply) == null) log.info("{} {}: {}", method, path, reply)
        return reply
    }

    private inline fun <T> parseOrNull(parse: () -> T): T? = try {
        parse()
    } catch (e: MalformedException) {
        log.error("cloud: malformed answer: {}", e.message)
        log.debug("cloud: malformed answer", e)
        null
    }

    private companion object {
        const val THREADS = 2
        const val MAX_QUEUED_CALLS = 40
        const val CONNECT_MS = 2000
        const val READ_MS = 6000
        const val MAX_PERMIT_WAIT_S = 10L
        const val MACHINES_PER_PAGE = 500
        const val LEADER_SHARE = 0.6
        const val SAFETY_FACTOR = 0.95
        const val MAX_RETURN_WAIT_MS = 15_000L
    }
}
