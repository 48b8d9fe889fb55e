package io.reedmast.app

import io.reedmast.ports.PeerMessage
import io.reedmast.wire.JobSpec
import io.reedmast.wire.UserAnswer
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** Access to the [Controller] on the event loop for the threads of the HTTP server, the peers and the watches. */
class ControllerHandle(
    private val eventLoop: EventLoop,
    private val controller: Controller,
    private val timings: Timings,
) {
    private val log = LoggerFactory.getLogger("main")

    @Volatile
    private var isHealthy = false

    /** [Controller.healthy] as of the last periodic run; callable on any thread. */
    fun healthy(): Boolean = isHealthy

    /** Receives the results of the watches on the store. */
    val watchSink = WatchSink(eventLoop, controller.cluster.watchResults, ::updateLookupsWaiting)

    @Volatile
    private var lookupsWaiting = false

    /** Whether any job lookup waits for a newer answer of the watch on jobs; callable on any thread. */
    fun hasWaitingLookups(): Boolean = lookupsWaiting

    private fun updateLookupsWaiting() {
        lookupsWaiting = controller.cluster.staleness.hasWaiters
    }

    /** The periodic run, on the event loop; then updates what other threads may read. */
    fun runOnce() {
        controller.runOnce()
        timings.runOnce()
        val healthy = controller.healthy()
        if (healthy != isHealthy) {
            log.info(
                if (healthy) "controller: healthy" else "controller: not healthy: {}",
                controller.cluster.staleness.describe(),
            )
        }
        isHealthy = healthy
        updateLookupsWaiting()
    }

    /** Handles a heartbeat on the event loop; false if its queue is full, and [answer] is then never called. */
    fun onHeartbeat(status: WorkerStatus, answer: (WorkerAnswer) -> Unit): Boolean =
        eventLoop.offer(EventPriority.HEARTBEAT) {
            answer(controller.onHeartbeat(status))
        }

    /** Handles a submission on the event loop; false if its queue is full, and [answer] is then never called. */
    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(EventPriority.USER_REQUEST) {
        controller.submit(spec, answer)
        updateLookupsWaiting()
    }

    /** Answers a poll on the event loop; false if its queue is full, and [answer] is then never called. */
    fun poll(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(EventPriority.USER_REQUEST) {
        controller.poll(jobId, answer)
        updateLookupsWaiting()
    }

    /** Cancels a job on the event loop; false if its queue is full, and [answer] is then never called. */
    fun cancel(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(EventPriority.USER_REQUEST) {
        controller.cancel(jobId, answer)
        updateLookupsWaiting()
    }

    /**
     * Handles a message from another controller on the event loop, or drops it if its queue is full: correctness does
     * not depend on the arrival of any message.
     *
     * Status updates, for display and as hints, wait among user requests. What controllers confirm to each other must
     * not wait behind these: during an outage of the store, many user requests would otherwise end all running tasks.
     */
    fun onPeerMessage(message: PeerMessage) {
        val priority =
            if (message is PeerMessage.ShardStatusUpdate) EventPriority.USER_REQUEST else EventPriority.INTERNAL
        eventLoop.offer(priority) { controller.onPeerMessage(message) }
    }
}
