package io.reedmast.loopback

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.HttpCaller
import io.reedmast.wire.Reply
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.concurrent.Executors
import kotlin.random.Random

/**
 * A simulated worker on the loopback interface that follows the protocol: heartbeats, leases, tokens and the effects of
 * commands. Tasks of services run until they are stopped, those of other jobs for [LoopbackCluster.taskRunMs].
 */
class LoopbackWorker(
    private val name: String,
    private val typeName: String,
    private val zone: String,
    private val cluster: LoopbackCluster,
) {
    private class Task(
        val taskId: String,
        val attempt: Long,
        val startedAt: Long,
        var state: String,
        var cause: String? = null,
    )

    private val timing = Random(name.hashCode())
    private val caller = HttpCaller(CONNECT_MS, READ_MS)
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val addr = "127.0.0.1:${server.address.port}"
    private val tasks = LinkedHashMap<Pair<String, Long>, Task>()
    private var epoch = 1L
    private var sequence = 0L
    private var token = 0L
    private var leaseStartedAt = cluster.now()
    private var controller = 0

    @Volatile
    private var stopped = false

    fun start() {
        server.executor = threads
        server.createContext("/do", ::handleDirectCall)
        server.start()
        threads.execute(::sendHeartbeats)
    }

    fun stop() {
        stopped = true
        synchronized(this) {
            tasks.values.filter { it.state == RUNNING }.forEach { cluster.history.recordEnd(it.taskId, cluster.now()) }
        }
        server.stop(0)
        threads.shutdownNow()
    }

    private fun sendHeartbeats() {
        while (!stopped) {
            val sentAt = cluster.now()
            val body = synchronized(this) {
                finishTasks(sentAt)
                checkLease(sentAt)
                statusFields()
            }
            val sentInEpoch = body["tenure"] as Long
            val reply = caller.call("POST", cluster.apiAddresses[controller], "/checkin", body)
            val redirected = synchronized(this) { handleReply(reply, sentAt, sentInEpoch) }
            if (!redirected) {
                sleep(
                    if (reply is Reply.Answer &&
                        reply.status == 200
                    ) {
                        heartbeatIntervalMs()
                    } else {
                        RETRY_MS
                    },
                )
            }
        }
    }

    /** A worker varies the interval of its heartbeats by up to a quarter. */
    private fun heartbeatIntervalMs(): Long =
        (cluster.heartbeatIntervalMs * timing.nextDouble(1 - INTERVAL_VARIATION, 1 + INTERVAL_VARIATION)).toLong()

    private fun sleep(ms: Long) = try {
        Thread.sleep(ms)
    } catch (e: InterruptedException) {
        stopped = true
    }

    /** Returns whether the next heartbeat is to be sent at once, to the controller that the reply names. */
    private fun handleReply(reply: Reply, sentAt: Long, sentInEpoch: Long): Boolean {
        val answer = reply as? Reply.Answer
        if (answer?.status == 421) {
            val owner = (answer.body["steward"] as? String)?.let { cluster.labels.indexOf(it) } ?: -1
            val isRedirect = owner >= 0 && owner != controller
            controller = if (isRedirect) owner else (controller + 1) % cluster.apiAddresses.size
            return isRedirect
        }
        if (answer?.status != 200) {
            controller = (controller + 1) % cluster.apiAddresses.size
            return false
        }
        val replyToken = (answer.body["baton"] as? Number)?.toLong() ?: return false
        if (replyToken < token || sentInEpoch != epoch) return false
        token = replyToken
        leaseStartedAt = sentAt
        execute(answer.body["orders"])
        return false
    }

    private fun checkLease(now: Long) {
        if (now - leaseStartedAt <= cluster.leaseMs) return
        if (tasks.values.any { it.state == RUNNING }) cluster.history.recordLeaseExpiry(name, now)
        tasks.values.filter { it.state == RUNNING }.forEach { cluster.history.recordEnd(it.taskId, now) }
        tasks.clear()
        epoch++
        leaseStartedAt = now
    }

    private fun finishTasks(now: Long) {
        tasks.values.filter {
            it.state == RUNNING && !cluster.isService(it.taskId) && now - it.startedAt > cluster.taskRunMs
        }.forEach { endTask(it, "done", now) }
    }

    private fun endTask(task: Task, cause: String, now: Long) {
        if (task.state != RUNNING) return
        task.state = ENDED
        task.cause = cause
        cluster.history.recordEnd(task.taskId, now)
    }

    private fun execute(commands: Any?) {
        for (command in (commands as? List<*>).orEmpty().filterIsInstance<Map<*, *>>()) {
            val taskId = command["piece"] as String
            val attempt = (command["try"] as Number).toLong()
            val existing = tasks[taskId to attempt]
            when (command["verb"]) {
                "launch" -> if (existing == null) launch(taskId, attempt)
                "stop" -> if (existing != null) endTask(existing, "halted", cluster.now())
                "forget" -> if (existing != null && existing.state != RUNNING) tasks.remove(taskId to attempt)
            }
        }
    }

    /** Another attempt at the task that still runs here refuses the launch. */
    private fun launch(taskId: String, attempt: Long) {
        val isBusy = tasks.values.any { it.taskId == taskId && it.state == RUNNING }
        cluster.history.recordLaunch(name, epoch, taskId, attempt)
        val task = Task(taskId, attempt, cluster.now(), if (isBusy) ENDED else RUNNING, if (isBusy) "busy" else null)
        tasks[taskId to attempt] = task
        if (!isBusy) cluster.history.recordStart(taskId, name, cluster.now())
    }

    /** Has copies of an executed call arrive again, after delays by chance, and executes those that still match. */
    private fun scheduleCopies(callToken: Long, callEpoch: Long, commands: Any?) {
        if (cluster.maxDirectCallCopies == 0) return
        repeat(timing.nextInt(cluster.maxDirectCallCopies + 1)) {
            val delayMs = timing.nextLong(MAX_COPY_DELAY_MS)
            threads.execute {
                sleep(delayMs)
                synchronized(this) { if (!stopped && callToken >= token && callEpoch == epoch) execute(commands) }
            }
        }
    }

    private fun handleDirectCall(exchange: HttpExchange) {
        val body = BodyCodec.readCbor(exchange.requestBody.readAllBytes())
        val (status, answer) = synchronized(this) {
            val callToken = (body["baton"] as? Number)?.toLong() ?: -1L
            if (callToken < token || (body["tenure"] as? Number)?.toLong() != epoch) {
                409 to statusFields()
            } else {
                token = callToken
                execute(body["orders"])
                scheduleCopies(callToken, epoch, body["orders"])
                200 to statusFields()
            }
        }
        val bytes = BodyCodec.writeCbor(answer)
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    private fun statusFields(): Fields = mapOf(
        "host" to name, "addr" to addr, "build" to typeName, "yard" to zone, "driftwood" to false,
        "tenure" to epoch, "tally" to ++sequence, "baton" to token,
        "pieces" to
            tasks.values.map {
                mapOf("piece" to it.taskId, "try" to it.attempt, "stage" to it.state, "cause" to it.cause)
            },
    )

    private companion object {
        const val RUNNING = "running"
        const val ENDED = "ended"
        const val MAX_COPY_DELAY_MS = 20_000L
        const val CONNECT_MS = 500
        const val READ_MS = 4_000
        const val RETRY_MS = 1_000L
        const val INTERVAL_VARIATION = 0.25
    }
}
