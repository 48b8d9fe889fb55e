package io.reedmast.app

import com.sun.net.httpserver.HttpServer
import io.reedmast.settings.Settings
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
import io.reedmast.wire.MessageSizes
import io.reedmast.wire.UserAnswer
import io.reedmast.wire.WorkerReplies
import io.reedmast.wire.WorkerStatus
import org.http4k.core.Body
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.HttpExchangeHandler
import org.slf4j.LoggerFactory
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Semaphore
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * The HTTP API on the `front` address: reads requests, passes them to the event loop and waits for the answers.
 *
 * Submissions, polls and cancellations may occupy only some of the threads, so that heartbeats always find a free one.
 */
class HttpApi(
    private val settings: Settings,
    private val controllerHandle: ControllerHandle,
    private val timings: Timings,
) {
    private val log = LoggerFactory.getLogger("http")
    private val submissionPermits = Semaphore(MAX_CONCURRENT_SUBMISSIONS)
    private val pollAndCancelPermits = Semaphore(MAX_CONCURRENT_POLLS_AND_CANCELS)

    /**
     * The few paths are matched by hand, because http4k's router compiles a pattern for each of its routes with every
     * request.
     */
    private val handler: HttpHandler = { request ->
        val path = request.uri.path
        val jobPath = path.removePrefix(JOB_PREFIX).takeIf { path.startsWith(JOB_PREFIX) }
        val method = request.method
        when {
            path == "/checkin" -> ifMethodIs(Method.POST, method) { timings.time("checkin") { onHeartbeat(request) } }
            path == "/submissions" -> ifMethodIs(Method.POST, method) { timings.time("submission") { submit(request) } }
            path == "/healthz" -> ifMethodIs(Method.GET, method) {
                Response(if (controllerHandle.healthy()) Status.OK else Status.SERVICE_UNAVAILABLE)
            }
            jobPath == null -> Response(Status.NOT_FOUND)
            jobPath.endsWith(ABORT_SUFFIX) -> ifMethodIs(Method.POST, method) {
                pollOrCancel(jobPath.removeSuffix(ABORT_SUFFIX), controllerHandle::cancel)
            }
            else -> ifMethodIs(Method.GET, method) { pollOrCancel(jobPath, controllerHandle::poll) }
        }
    }

    private inline fun ifMethodIs(allowed: Method, method: Method, handle: () -> Response): Response =
        if (method == allowed) handle() else Response(Status.METHOD_NOT_ALLOWED).header("Allow", allowed.name)

    /** Opens the port and serves it until the process ends; throws [java.io.IOException] if the port is taken. */
    fun start() {
        // The JDK's server reads its properties only once, when its classes are loaded.
        System.setProperty("sun.net.httpserver.nodelay", "true")
        // If only one controller is left, the workers of the whole fleet connect to it: nearly all sockets are for them
        // and few for this controller's own calls.
        System.setProperty(
            "sun.net.httpserver.maxIdleConnections",
            (settings.maxConnections * IDLE_CONNECTIONS_RATIO).toInt().toString(),
        )
        System.setProperty(
            "jdk.httpserver.maxConnections",
            (settings.maxConnections * SERVED_CONNECTIONS_RATIO).toInt().toString(),
        )
        val server = HttpServer.create(settings.apiAddress, BACKLOG)
        server.createContext("/", HttpExchangeHandler(handler))
        server.executor = WorkPool("front", THREADS, MAX_QUEUED_REQUESTS)
        server.start()
    }

    private fun onHeartbeat(request: Request): Response = withBody(request) { fields ->
        val status = WorkerStatus.parse(fields)
        when (val awaited = await<WorkerAnswer>(WORKER_TIMEOUT_MS) { controllerHandle.onHeartbeat(status, it) }) {
            Awaited.Refused, Awaited.TimedOut -> Response(Status.SERVICE_UNAVAILABLE)
            is Awaited.Answer -> workerResponse(awaited.value)
        }
    }

    private fun workerResponse(answer: WorkerAnswer): Response = when (answer) {
        WorkerAnswer.Unavailable -> Response(Status.SERVICE_UNAVAILABLE)
        is WorkerAnswer.Commands -> cbor(Status.OK, WorkerReplies.heartbeatReply(answer.token, answer.commands))
        is WorkerAnswer.Redirect -> cbor(MISDIRECTED, WorkerReplies.redirect(answer.label))
    }

    private fun submit(request: Request): Response {
        if (!submissionPermits.tryAcquire()) return busy()
        try {
            return withBody(request) { fields ->
                val spec = JobSpec.parse(fields)
                userResponse(await(SUBMISSION_TIMEOUT_MS) { controllerHandle.submit(spec, it) })
            }
        } finally {
            submissionPermits.release()
        }
    }

    private fun pollOrCancel(encodedId: String, request: (String, (UserAnswer) -> Unit) -> Boolean): Response {
        // A job id needs no escaping, so text with an escape is no job id and is treated as an unknown job.
        val id = if ('%' in encodedId) "" else encodedId
        if (!pollAndCancelPermits.tryAcquire()) return busy()
        try {
            return timings.time("question") { userResponse(await(POLL_AND_CANCEL_TIMEOUT_MS) { request(id, it) }) }
        } finally {
            pollAndCancelPermits.release()
        }
    }

    private fun userResponse(awaited: Awaited<UserAnswer>): Response {
        if (awaited !is Awaited.Answer) return Response(Status.GATEWAY_TIMEOUT).header("Retry-After", "1")
        val answer = awaited.value
        val response = cbor(Status(answer.status, ""), answer.toFields())
        val retryAfterS = answer.retryAfterS ?: return response
        return response.header("Retry-After", retryAfterS.toString())
    }

    private fun busy() = Response(Status.TOO_MANY_REQUESTS).header("Retry-After", "1")

    /** The result of waiting for the event loop to answer a request. */
    private sealed interface Awaited<out T> {
        data class Answer<T>(val value: T) : Awaited<T>

        /** The event loop's queue for such requests is full. */
        data object Refused : Awaited<Nothing>

        data object TimedOut : Awaited<Nothing>
    }

    /** Has [offer] pass a request to the event loop, and waits up to [timeoutMs] milliseconds for the answer. */
    private fun <T : Any> await(timeoutMs: Long, offer: ((T) -> Unit) -> Boolean): Awaited<T> {
        val future = CompletableFuture<T>()
        if (!offer { future.complete(it) }) return Awaited.Refused
        return try {
            Awaited.Answer(future.get(timeoutMs, TimeUnit.MILLISECONDS))
        } catch (e: TimeoutException) {
            log.debug("no answer from the event loop within {} ms", timeoutMs, e)
            Awaited.TimedOut
        }
    }

    private inline fun withBody(request: Request, use: (Fields) -> Response): Response {
        val bytes = bodyOf(request) ?: return tooLarge()
        return try {
            use(BodyCodec.readCbor(bytes))
        } catch (e: MalformedException) {
            cbor(Status.BAD_REQUEST, UserAnswer(Status.BAD_REQUEST.code, error = e.message).toFields())
        }
    }

    /** The body of [request], null if it is larger than any message may be. */
    private fun bodyOf(request: Request): ByteArray? {
        val length = request.header("Content-Length")?.toLongOrNull()
        if (length != null && length > MessageSizes.MAX_BODY_BYTES) return null
        return request.body.stream.readNBytes(MessageSizes.MAX_BODY_BYTES + 1)
            .takeIf { it.size <= MessageSizes.MAX_BODY_BYTES }
    }

    private fun tooLarge() = Response(Status.REQUEST_ENTITY_TOO_LARGE).header("Connection", "close")

    private fun cbor(status: Status, fields: Fields): Response = Response(status)
        .header("Content-Type", "application/cbor")
        .body(Body(ByteBuffer.wrap(BodyCodec.writeCbor(fields))))

    private companion object {
        const val JOB_PREFIX = "/submissions/"
        const val ABORT_SUFFIX = "/abort"
        val MISDIRECTED = Status(421, "Misdirected Request")
        const val IDLE_CONNECTIONS_RATIO = 0.85
        const val SERVED_CONNECTIONS_RATIO = 0.9
        const val BACKLOG = 512
        const val THREADS = 96
        const val MAX_QUEUED_REQUESTS = 400
        const val MAX_CONCURRENT_SUBMISSIONS = 16

        /** More than submissions, since each occupies a thread until the next answer of the watch on jobs. */
        const val MAX_CONCURRENT_POLLS_AND_CANCELS = 56
        const val WORKER_TIMEOUT_MS = 3_000L
        const val SUBMISSION_TIMEOUT_MS = 4_500L
        const val POLL_AND_CANCEL_TIMEOUT_MS = 1_900L
    }
}
