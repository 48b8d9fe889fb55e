package io.reedmast.app

import com.sun.net.httpserver.HttpServer
import io.reedmast.settings.Settings
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.JobSpec
import io.reedmast.wire.MalformedException
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
 * The HTTP side of the `front` address: reads messages, hands them to the deciding thread and waits for its answer.
 *
 * Submissions and polls may hold only part of the threads, so that reports of workers always find one.
 */
class HttpApi(private val settings: Settings, private val handle: ControllerHandle, private val timings: Timings) {
    private val log = LoggerFactory.getLogger("http")
    private val submissions = Semaphore(SUBMISSIONS_AT_ONCE)
    private val questions = Semaphore(QUESTIONS_AT_ONCE)

    /**
     * The few paths are told apart by hand: http4k's router compiles a pattern for each of its routes with every
     * request, which took a fifth of the processor time of a report.
     */
    private val handler: HttpHandler = { request ->
        val path = request.uri.path
        val job = path.removePrefix(JOB_PREFIX).takeIf { path.startsWith(JOB_PREFIX) }
        val method = request.method
        when {
            path == "/checkin" -> only(Method.POST, method) { timings.time("checkin") { onHeartbeat(request) } }
            path == "/submissions" -> only(Method.POST, method) { timings.time("submission") { submit(request) } }
            path == "/healthz" -> only(Method.GET, method) {
                Response(if (handle.healthy()) Status.OK else Status.SERVICE_UNAVAILABLE)
            }
            job == null -> Response(Status.NOT_FOUND)
            job.endsWith(ABORT) -> only(Method.POST, method) { ask(job.removeSuffix(ABORT), handle::cancel) }
            else -> only(Method.GET, method) { ask(job, handle::poll) }
        }
    }

    private inline fun only(allowed: Method, method: Method, handle: () -> Response): Response =
        if (method == allowed) handle() else Response(Status.METHOD_NOT_ALLOWED).header("Allow", allowed.name)

    /** Opens the port and serves it until the process ends; throws [java.io.IOException] if it is not free. */
    fun start() {
        // Read once by the JDK's server when its classes load.
        System.setProperty("sun.net.httpserver.nodelay", "true")
        // The last controller left has the workers of the whole fleet: nearly all sockets are theirs, and few are for
        // our own calls.
        System.setProperty(
            "sun.net.httpserver.maxIdleConnections",
            (settings.maxConnections * IDLE_PART).toInt().toString(),
        )
        System.setProperty("jdk.httpserver.maxConnections", (settings.maxConnections * SERVED_PART).toInt().toString())
        val server = HttpServer.create(settings.apiAddress, BACKLOG)
        server.createContext("/", HttpExchangeHandler(handler))
        server.executor = WorkPool("front", THREADS, QUEUED)
        server.start()
    }

    private fun onHeartbeat(request: Request): Response = reading(request) { fields ->
        val status = WorkerStatus.parse(fields)
        when (val awaited = await<WorkerAnswer>(WORKER_TIMEOUT_MS) { handle.onHeartbeat(status, it) }) {
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
        if (!submissions.tryAcquire()) return busy()
        try {
            return reading(request) { fields ->
                val spec = JobSpec.parse(fields)
                userResponse(await(SUBMISSION_TIMEOUT_MS) { handle.submit(spec, it) })
            }
        } finally {
            submissions.release()
        }
    }

    private fun ask(encoded: String, question: (String, (UserAnswer) -> Unit) -> Boolean): Response {
        // Ids need no escaping; what is none, whatever it stands for, is nobody's job.
        val id = if ('%' in encoded) "" else encoded
        if (!questions.tryAcquire()) return busy()
        try {
            return timings.time("question") { userResponse(await(QUESTION_TIMEOUT_MS) { question(id, it) }) }
        } finally {
            questions.release()
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

    /** What came of a question to the deciding thread. */
    private sealed interface Awaited<out T> {
        data class Answer<T>(val value: T) : Awaited<T>

        /** The deciding thread has too much to do already. */
        data object Refused : Awaited<Nothing>

        data object TimedOut : Awaited<Nothing>
    }

    /** Has [ask] put a question to the deciding thread, and waits up to [timeoutMs] milliseconds for its answer. */
    private fun <T : Any> await(timeoutMs: Long, ask: ((T) -> Unit) -> Boolean): Awaited<T> {
        val future = CompletableFuture<T>()
        if (!ask { future.complete(it) }) return Awaited.Refused
        return try {
            Awaited.Answer(future.get(timeoutMs, TimeUnit.MILLISECONDS))
        } catch (e: TimeoutException) {
            log.debug("no answer within {} ms", timeoutMs, e)
            Awaited.TimedOut
        }
    }

    private inline fun reading(request: Request, use: (Fields) -> Response): Response {
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
        if (length != null && length > MAX_BODY_BYTES) return null
        return request.body.stream.readNBytes(MAX_BODY_BYTES + 1).takeIf { it.size <= MAX_BODY_BYTES }
    }

    private fun tooLarge() = Response(Status.REQUEST_ENTITY_TOO_LARGE).header("Connection", "close")

    private fun cbor(status: Status, fields: Fields): Response = Response(
        status,
    ).header("Content-Type", "application/cbor").body(Body(ByteBuffer.wrap(BodyCodec.writeCbor(fields))))

    private companion object {
        const val JOB_PREFIX = "/submissions/"
        const val ABORT = "/abort"
        val MISDIRECTED = Status(421, "Misdirected Request")
        const val MAX_BODY_BYTES = 64 * 1024
        const val IDLE_PART = 0.85
        const val SERVED_PART = 0.9
        const val BACKLOG = 512
        const val THREADS = 96
        const val QUEUED = 400
        const val SUBMISSIONS_AT_ONCE = 16

        /**
         * A question holds a thread until the next answer of the watch: at 14, users of a rough day were refused
         * thousands of times.
         */
        const val QUESTIONS_AT_ONCE = 56
        const val WORKER_TIMEOUT_MS = 3_000L
        const val SUBMISSION_TIMEOUT_MS = 4_500L
        const val QUESTION_TIMEOUT_MS = 1_900L
    }
}
