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

/**
 * A worker of the protocol on loopback: reports, leases, tokens and the effects of commands. Services run until they
 * are stopped, tasks of other jobs for [runMs].
 */
class LoopbackWorker(
    private val name: String,
    private val typeName: String,
    private val zone: String,
    private val cluster: LoopbackCluster,
) {
    private class Task(
        val piece: String,
        val attempt: Long,
        val since: Long,
        var stage: String,
        var cause: String? = null,
    )

    private val caller = HttpCaller(CONNECT_MS, READ_MS)
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
    private val threads = Executors.newCachedThreadPool { Thread(it).apply { isDaemon = true } }
    val addr = "127.0.0.1:${server.address.port}"
    private val tasks = LinkedHashMap<String, Task>()
    private var epoch = 1L
    private var sequence = 0L
    private var token = 0L
    private var leaseFrom = cluster.now()
    private var node = 0

    @Volatile
    private var gone = false

    fun start() {
        server.executor = threads
        server.createContext("/do", ::direct)
        server.start()
        threads.execute(::reportForever)
    }

    fun stop() {
        gone = true
        synchronized(this) {
            tasks.values.filter { it.stage == RUNNING }.forEach { cluster.history.ended(it.piece, cluster.now()) }
        }
        server.stop(0)
        threads.shutdownNow()
    }

    private fun reportForever() {
        while (!gone) {
            val sentAt = cluster.now()
            val body = synchronized(this) {
                finishTasks(sentAt)
                checkLease(sentAt)
                report()
            }
            val sentIn = body["tenure"] as Long
            val reply = caller.call("POST", cluster.fronts[node], "/checkin", body)
            val redirected = synchronized(this) { taken(reply, sentAt, sentIn) }
            if (!redirected) sleep(if (reply is Reply.Answer && reply.status == 200) cluster.reportMs else RETRY_MS)
        }
    }

    private fun sleep(ms: Long) = try {
        Thread.sleep(ms)
    } catch (e: InterruptedException) {
        gone = true
    }

    /** True if another controller is to be asked at once. */
    private fun taken(reply: Reply, sentAt: Long, sentIn: Long): Boolean {
        val answer = reply as? Reply.Answer
        if (answer?.status == 421) {
            val other = (answer.body["steward"] as? String)?.let { cluster.labels.indexOf(it) } ?: -1
            val known = other >= 0 && other != node
            node = if (known) other else (node + 1) % cluster.fronts.size
            return known
        }
        if (answer?.status != 200) {
            node = (node + 1) % cluster.fronts.size
            return false
        }
        val given = (answer.body["baton"] as? Number)?.toLong() ?: return false
        if (given < token || sentIn != epoch) return false
        token = given
        leaseFrom = sentAt
        execute(answer.body["orders"])
        return false
    }

    private fun checkLease(now: Long) {
        if (now - leaseFrom <= cluster.leaseMs) return
        if (tasks.values.any { it.stage == RUNNING }) cluster.history.leaseLost(name, now)
        tasks.values.filter { it.stage == RUNNING }.forEach { cluster.history.ended(it.piece, now) }
        tasks.clear()
        epoch++
        leaseFrom = now
    }

    private fun finishTasks(now: Long) {
        tasks.values.filter {
            it.stage == RUNNING && !cluster.isService(it.piece) && now - it.since > cluster.runMs
        }.forEach { end(it, "done", now) }
    }

    private fun end(task: Task, cause: String, now: Long) {
        if (task.stage != RUNNING) return
        task.stage = "ended"
        task.cause = cause
        cluster.history.ended(task.piece, now)
    }

    private fun execute(orders: Any?) {
        for (order in (orders as? List<*>).orEmpty().filterIsInstance<Map<*, *>>()) {
            val piece = order["piece"] as String
            val attempt = (order["try"] as Number).toLong()
            val held = tasks[piece]
            when (order["verb"]) {
                "launch" -> launch(piece, attempt, held)
                "stop" -> if (held?.attempt == attempt) end(held, "halted", cluster.now())
                "forget" -> if (held?.attempt == attempt && held.stage != RUNNING) tasks.remove(piece)
            }
        }
    }

    private fun launch(piece: String, attempt: Long, held: Task?) {
        if (held?.attempt == attempt || held?.stage == RUNNING) return
        tasks[piece] = Task(piece, attempt, cluster.now(), RUNNING)
        cluster.history.started(piece, name, cluster.now())
    }

    private fun direct(exchange: HttpExchange) {
        val body = BodyCodec.readCbor(exchange.requestBody.readAllBytes())
        val (status, answer) = synchronized(this) {
            val given = (body["baton"] as? Number)?.toLong() ?: -1L
            if (given < token || (body["tenure"] as? Number)?.toLong() != epoch) {
                409 to report()
            } else {
                token = given
                execute(body["orders"])
                200 to report()
            }
        }
        val bytes = BodyCodec.writeCbor(answer)
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    private fun report(): Fields = mapOf(
        "host" to name, "addr" to addr, "build" to typeName, "yard" to zone, "driftwood" to false,
        "tenure" to epoch, "tally" to ++sequence, "baton" to token,
        "pieces" to
            tasks.values.map {
                mapOf("piece" to it.piece, "try" to it.attempt, "stage" to it.stage, "cause" to it.cause)
            },
    )

    private companion object {
        const val RUNNING = "running"
        const val CONNECT_MS = 500
        const val READ_MS = 4_000
        const val RETRY_MS = 300L
    }
}
