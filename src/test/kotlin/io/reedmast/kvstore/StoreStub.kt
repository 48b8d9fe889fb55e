package io.reedmast.kvstore

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.reedmast.settings.StoreLimits
import io.reedmast.wire.BodyCodec
import io.reedmast.wire.Fields
import io.reedmast.wire.HttpCaller
import java.net.InetAddress
import java.net.InetSocketAddress
import java.util.TreeMap
import java.util.concurrent.Executors

/** A store on loopback for tests of its clients; transactions can be lost, held back and executed late. */
class StoreStub : AutoCloseable {
    private class Entry(val value: Any?, val version: Long)

    /** What happens to a transaction that is sent. */
    enum class Delivery { ANSWERED, LOST, ANSWER_LOST }

    private val entries = TreeMap<String, Entry>()
    private val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50)
    private val threads = Executors.newCachedThreadPool()
    private var revision = 100L

    /** The delivery of each transaction, in order of arrival; transactions after the last of these are answered. */
    private val deliveries = ArrayDeque<Delivery>()

    /** Called when a transaction gets no answer: what happens before its sender repeats it. */
    var onUnanswered: () -> Unit = {}

    /** Transactions that arrived, including lost ones. */
    val transactions = ArrayList<Fields>()

    val limits =
        StoreLimits(requestsPerS = 10_000.0, writesPerS = 1_000.0, valueBytes = 8192, writesPerTransaction = 16)
    val client: StoreClient

    init {
        server.executor = threads
        server.createContext("/", ::serve)
        server.start()
        client =
            StoreClient(
                "127.0.0.1:${server.address.port}",
                EffectiveLimits(limits),
                1,
                HttpCaller(connectTimeoutMs = 500, readTimeoutMs = 300),
            )
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    fun planDeliveries(vararg next: Delivery) {
        synchronized(this) { deliveries.addAll(next) }
    }

    /** Stores [value] as another client would, whatever is there. */
    @Synchronized
    fun put(path: String, value: Fields): Long {
        entries[path] = Entry(BodyCodec.readCbor(BodyCodec.writeCbor(value)), ++revision)
        return revision
    }

    @Synchronized
    fun versionOf(path: String): Long = entries[path]?.version ?: 0L

    private fun serve(exchange: HttpExchange) {
        val body = exchange.requestBody.readAllBytes()
        val path = exchange.requestURI.path
        val (status, answer) = if (path ==
            "/commit"
        ) {
            commit(BodyCodec.readCbor(body)) ?: return exchange.close()
        } else {
            read(path, exchange.requestURI.query)
        }
        val bytes = BodyCodec.writeCbor(answer)
        exchange.sendResponseHeaders(status, bytes.size.toLong())
        exchange.responseBody.use { it.write(bytes) }
    }

    /** The answer to a transaction, null if it gets none. */
    private fun commit(body: Fields): Pair<Int, Fields>? {
        val delivery = synchronized(this) {
            transactions.add(body)
            deliveries.removeFirstOrNull() ?: Delivery.ANSWERED
        }
        val answer = if (delivery == Delivery.LOST) null else execute(body)
        if (delivery == Delivery.ANSWERED) return answer
        onUnanswered()
        return null
    }

    /** Executes a transaction; also for copies that arrive late. */
    @Synchronized
    fun execute(body: Fields): Pair<Int, Fields> {
        val failed = maps(body["when"]).filter {
            versionOf(it["path"] as String) != (it["stamp"] as Number).toLong()
        }.map { it["path"] }
        if (failed.isNotEmpty()) return 409 to mapOf("failed" to failed, "epoch" to revision)
        revision++
        for (write in maps(body["writes"])) {
            val put = write["put"]
            if (put is String) entries[put] = Entry(write["v"], revision) else entries.remove(write["delete"])
        }
        return 200 to mapOf("epoch" to revision)
    }

    private fun maps(list: Any?) = (list as List<*>).map { it as Map<*, *> }

    /** The changes with which a watch is answered. */
    @Volatile
    var changes: List<Fields> = emptyList()

    @Synchronized
    private fun read(path: String, query: String?): Pair<Int, Fields> {
        if (path == "/follow") return 200 to mapOf("epoch" to revision, "log" to changes)
        if (query != null) return 400 to emptyMap()
        val key = path.removePrefix("/kv/")
        val entry = entries[key] ?: return 404 to mapOf("epoch" to revision)
        return 200 to mapOf("path" to key, "v" to entry.value, "stamp" to entry.version)
    }
}
