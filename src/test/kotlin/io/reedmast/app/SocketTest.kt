package io.reedmast.app

import com.sun.net.httpserver.HttpServer
import io.reedmast.kvstore.EffectiveLimits
import io.reedmast.kvstore.StoreClient
import io.reedmast.peers.PeerClient
import io.reedmast.peers.PeerServer
import io.reedmast.ports.Clock
import io.reedmast.ports.JobProgress
import io.reedmast.ports.MachineHint
import io.reedmast.ports.PeerMessage
import io.reedmast.settings.Settings
import io.reedmast.settings.Tuning
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.HttpCaller
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import java.net.HttpURLConnection
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Executors
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

/** The real server and the real clients on loopback, against a small fake of the store and the cloud. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class SocketTest {
    private object SystemClock : Clock {
        override fun now(): Long = System.nanoTime() / 1_000_000

        override fun wallTime(): Long = System.currentTimeMillis()
    }

    private val stored = HashMap<String, Pair<Any?, Long>>()
    private val log = ArrayList<Map<*, *>>()
    private var revision = 1L

    /** The next transaction that contains this key is applied, and its answer is lost. */
    @Volatile
    private var loseAnswerOf: String? = null

    /** The next request of the watch on jobs is told that the requested changes are no longer kept. */
    @Volatile
    private var compactOnce = false
    private var front = 0
    private val backend = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
    private val backendThreads = Executors.newCachedThreadPool()

    private fun freePort() = ServerSocket(0).use { it.localPort }

    @BeforeAll
    fun start() {
        backend.executor = backendThreads
        backend.createContext("/") { exchange ->
            val path = exchange.requestURI.path
            val body = exchange.requestBody.readAllBytes()
            val (status, answer) = serve(
                exchange.requestMethod,
                path,
                exchange.requestURI.query.orEmpty(),
                if (body.isEmpty()) emptyMap() else BodyCodec.readCbor(body),
            )
            if (path == "/commit" && loseAnswerOf?.let { it in String(body) } == true) {
                loseAnswerOf = null
                exchange.close()
                return@createContext
            }
            val bytes = BodyCodec.writeCbor(answer)
            exchange.sendResponseHeaders(status, bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }
        backend.start()
        front = freePort()
        val text = Files.readString(Path.of("deploy/rehearsal.json"))
            .replace("18391", front.toString()).replace("18392", freePort().toString())
            .replace("18393", backend.address.port.toString()).replace("18394", backend.address.port.toString())
        val settings = Settings.parse(BodyCodec.readJson(text.toByteArray()))
        val eventLoop = EventLoop(SystemClock, 100)
        val limits = EffectiveLimits(settings.storeLimits, settings.nextStoreLimits)
        val client = StoreClient(settings.storeAddress, limits, 1, HttpCaller(500, 1000))
        val gateway = NetworkGateway.create(settings, eventLoop, StoreAccess(client, limits, "test")) {}
        val timings = Timings(SystemClock)
        val controllerHandle =
            ControllerHandle(eventLoop, Controller(settings, Tuning(), SystemClock, gateway, limits, "test"), timings)
        HttpApi(settings, controllerHandle, timings).start()
        gateway.start()
        Watches(client, SystemClock, controllerHandle).start()
        startThread("test-desk") { eventLoop.run(50, 50, controllerHandle::runOnce) }
        val deadline = System.nanoTime() + 10_000_000_000L
        while (call("GET", "/healthz", null).first != 200 && System.nanoTime() < deadline) Thread.sleep(50)
    }

    @AfterAll
    fun stop() {
        backend.stop(0)
        backendThreads.shutdownNow()
    }

    @Synchronized
    private fun commit(body: Fields): Pair<Int, Fields> {
        val preconditions = (body["when"] as List<*>).map { it as Map<*, *> }
        val failed = preconditions.filter {
            (stored[it["path"]]?.second ?: 0L) != (it["stamp"] as Number).toLong()
        }.map { it["path"] }
        if (failed.isNotEmpty()) return 409 to mapOf("failed" to failed, "epoch" to revision)
        revision++
        for (write in (body["writes"] as List<*>).map { it as Map<*, *> }) {
            if (write["put"] !=
                null
            ) {
                stored[write["put"] as String] = write["v"] to revision
            } else {
                stored.remove(write["delete"] as String)
            }
            log.add(write + ("stamp" to revision))
        }
        return 200 to mapOf("epoch" to revision)
    }

    private fun serve(method: String, path: String, query: String, body: Fields): Pair<Int, Fields> = when {
        path == "/commit" -> commit(body)

        path == "/leases" -> 200 to mapOf("holding" to 1)

        path.startsWith("/leases/") -> 200 to emptyMap()

        path == "/follow" -> {
            Thread.sleep(20)
            synchronized(this) {
                val after = query.substringAfter("after=").substringBefore('&').toLong()
                val prefix = query.substringAfter("prefix=").substringBefore('&')
                val news = log.filter {
                    (it["stamp"] as Long) > after &&
                        ((it["put"] ?: it["delete"]) as String).startsWith(prefix)
                }
                val gap = compactOnce && prefix.startsWith("j")
                if (gap) compactOnce = false
                if (gap) 410 to emptyMap() else 200 to mapOf("epoch" to revision, "log" to news)
            }
        }

        path == "/kv" -> synchronized(this) {
            val prefix = query.substringAfter("prefix=").substringBefore('&')
            val pairs = stored.filterKeys { it.startsWith(prefix) }.map {
                mapOf(
                    "path" to it.key,
                    "v" to it.value.first,
                    "stamp" to it.value.second,
                )
            }
            200 to mapOf("pairs" to pairs, "more" to false, "epoch" to revision)
        }

        path.startsWith("/kv/") -> synchronized(this) {
            val key = path.removePrefix("/kv/")
            stored[key]?.let { 200 to mapOf("path" to key, "v" to it.first, "stamp" to it.second) }
                ?: (404 to mapOf("epoch" to revision))
        }

        path == "/flavors" -> 200 to mapOf(
            "builds" to listOf(
                mapOf(
                    "label" to "m", "cpus" to 4, "gpus" to 0, "memGb" to 8, "localGb" to 50, "pullGbPerS" to 1.0,
                    "hourly" to 1.0, "startupS" to 9,
                    "yards" to listOf("here"),
                ),
            ),
        )

        method == "GET" -> 200 to mapOf("hosts" to emptyList<Any>(), "more" to false)

        else -> 503 to mapOf("error" to "no capacity")
    }

    private fun call(method: String, path: String, body: ByteArray?): Pair<Int, ByteArray> {
        val connection = URI.create("http://127.0.0.1:$front$path").toURL().openConnection() as HttpURLConnection
        connection.requestMethod = method
        connection.connectTimeout = 3000
        connection.readTimeout = 6000
        if (body != null) {
            connection.doOutput = true
            connection.outputStream.use { it.write(body) }
        }
        val status = connection.responseCode
        val stream = if (status >= 400) connection.errorStream else connection.inputStream
        return status to (stream?.use { it.readAllBytes() } ?: ByteArray(0))
    }

    private val job = mapOf(
        "ref" to "wk-000001", "lot" to "l", "crew" to "nobody", "shape" to "array", "rank" to "standard", "pieces" to 1,
        "cpus" to 1, "gpus" to 0,
        "memGb" to 1, "bundle" to "i", "sizeGb" to 1, "oneZone" to false, "apart" to false, "driftwood" to false,
        "guessS" to 5, "markS" to 0, "stowS" to 0,
    )

    private fun submit(fields: Fields) = call("POST", "/submissions", BodyCodec.writeCbor(fields))

    @Test
    fun `a job is accepted once, known from then on, and stays cancelled`() {
        assertEquals(201, submit(job).first)
        assertEquals(200, submit(job).first)
        assertEquals(200, call("GET", "/submissions/wk-000001", null).first)
        val isCancelled = call("POST", "/submissions/wk-000001/abort", ByteArray(0))
        assertEquals("aborted", BodyCodec.readCbor(isCancelled.second)["stage"])
        assertEquals("aborted", BodyCodec.readCbor(submit(job).second)["stage"])
        assertEquals("aborted", BodyCodec.readCbor(call("GET", "/submissions/wk-000001", null).second)["stage"])
    }

    @Test
    fun `a transaction whose answer was lost is known to have been applied`() {
        loseAnswerOf = "j/live/0/wk-000003"
        assertEquals(201, submit(job + ("ref" to "wk-000003")).first)
        assertEquals(null, loseAnswerOf)
    }

    @Test
    fun `after a gap in the watch, jobs are read again`() {
        synchronized(this) {
            // Accepted by another controller, and no longer among the changes that are kept.
            revision++
            stored["j/live/0/wk-000009"] =
                mapOf("spec" to job + ("ref" to "wk-000009"), "chunk" to 10, "at" to 1) to revision
        }
        assertEquals(404, call("GET", "/submissions/wk-000009", null).first)
        compactOnce = true
        val deadline = System.nanoTime() + 10_000_000_000L
        while (call("GET", "/submissions/wk-000009", null).first != 200 &&
            System.nanoTime() < deadline
        ) {
            Thread.sleep(50)
        }
        assertEquals(200, call("GET", "/submissions/wk-000009", null).first)
    }

    @Test
    fun `a request that cannot be accepted gets the status for the reason`() {
        val cases = listOf(
            400 to { call("POST", "/submissions", "hello".toByteArray()).first },
            400 to { submit(job - "cpus").first },
            400 to { submit(job - "oneZone").first },
            400 to { call("POST", "/checkin", BodyCodec.writeCbor(mapOf("host" to 1))).first },
            422 to { submit(job + ("ref" to "wk-000002") + ("crew" to "strangers")).first },
            422 to { submit(job + ("ref" to "wk-000002") + ("cpus" to 3)).first },
            422 to { submit(job + ("ref" to "wk-000002") + ("memGb" to 9)).first },
            404 to { call("GET", "/submissions/wk-999999", null).first },
            404 to { call("POST", "/submissions/wk-999999/abort", ByteArray(0)).first },
            404 to { call("GET", "/nothing", null).first },
            405 to { call("GET", "/checkin", null).first },
        )
        for ((i, case) in cases.withIndex()) assertEquals(case.first, case.second(), "case $i")
    }

    @Test
    fun `a body that is too large is refused, and the next request is served`() {
        Socket("127.0.0.1", front).use { socket ->
            socket.soTimeout = 5000
            socket.getOutputStream().write(
                "POST /submissions HTTP/1.1\r\nHost: x\r\nContent-Length: 10000000\r\n\r\n".toByteArray(),
            )
            socket.getOutputStream().write(ByteArray(1000))
            val line = socket.getInputStream().bufferedReader().readLine()
            assertTrue(line.contains("413"), line)
        }
        assertEquals(404, call("GET", "/submissions/wk-999998", null).first)
    }

    @Test
    fun `controllers send each other progress in frames of bounded size, and sending to an absent one fails`() {
        val address = InetSocketAddress("127.0.0.1", freePort())
        val received = LinkedBlockingQueue<PeerMessage>()
        val server = PeerServer(address, backendThreads) { received.add(it) }
        val listening = server.open()
        backendThreads.execute { server.run(listening) }
        val jobs = (0 until 5_000).map { JobProgress("wk-%06d".format(it), it, 7) }
        val machineNames = (0 until 500).map {
            MachineHint(
                "host-%06d".format(it),
                "10.1.0.1:$it",
                listOf(
                    "img-1" to 1.5,
                    "img-$it" to 2.0,
                ),
            )
        }
        assertTrue(PeerClient(address).send(PeerMessage.ShardStatusUpdate(jobs, machineNames)))
        val receivedJobs = ArrayList<JobProgress>()
        val receivedHints = ArrayList<MachineHint>()
        while (receivedHints.size < machineNames.size) {
            val news =
                checkNotNull(received.poll(5, TimeUnit.SECONDS) as? PeerMessage.ShardStatusUpdate) {
                    "only ${receivedJobs.size} jobs and ${receivedHints.size} machines received"
                }
            receivedJobs.addAll(news.jobs)
            receivedHints.addAll(news.machines)
        }
        assertEquals(jobs, receivedJobs)
        assertEquals(machineNames, receivedHints)
        assertEquals(
            false,
            PeerClient(
                InetSocketAddress("127.0.0.1", freePort()),
            ).send(PeerMessage.ShardStatusUpdate(jobs, machineNames)),
        )
    }
}
