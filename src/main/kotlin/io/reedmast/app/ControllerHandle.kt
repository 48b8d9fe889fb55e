package io.reedmast.app

import io.reedmast.ports.PeerMessage
import io.reedmast.wire.JobSpec
import io.reedmast.wire.UserAnswer
import io.reedmast.wire.WorkerStatus
import org.slf4j.LoggerFactory

/** What the threads of the HTTP server, the peers and the watches may ask of the deciding thread. */
class ControllerHandle(
    private val eventLoop: EventLoop,
    private val controller: Controller,
    private val timings: Timings,
) {
    private val log = LoggerFactory.getLogger("main")

    @Volatile
    private var healthyNow = false

    /** Whether the load balancer should send users here, as of the last periodic run; callable on any thread. */
    fun healthy(): Boolean = healthyNow

    /** Takes what the watches on the store deliver. */
    val watchSink = WatchSink(eventLoop, controller.cluster.watchResults, ::updateQuestionsWaiting)

    @Volatile
    private var waiting = false

    /** Whether somebody waits to be told what the watch on jobs does not know yet. */
    fun hasWaitingLookups(): Boolean = waiting

    private fun updateQuestionsWaiting() {
        waiting = controller.cluster.staleness.hasWaiters
    }

    /** The periodic run, on the event loop: all duties, then what other threads may read of them. */
    fun runOnce() {
        controller.runOnce()
        timings.runOnce()
        val healthy = controller.healthy()
        if (healthy != healthyNow) {
            log.info(if (healthy) "healthy" else "not healthy: {}", controller.cluster.staleness.describe())
        }
        healthyNow = healthy
        updateQuestionsWaiting()
    }

    /** Has a heartbeat handled; false if there is too much to do, and [answer] is then never called. */
    fun onHeartbeat(status: WorkerStatus, answer: (WorkerAnswer) -> Unit): Boolean =
        eventLoop.offer(EventPriority.HEARTBEAT) {
            answer(controller.onHeartbeat(status))
        }

    /** Has a submission handled; false if there is too much to do, and [answer] is then never called. */
    fun submit(spec: JobSpec, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(EventPriority.USER_REQUEST) {
        controller.submit(spec, answer)
        updateQuestionsWaiting()
    }

    /** Has a poll answered; false if there is too much to do, and [answer] is then never called. */
    fun poll(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(EventPriority.USER_REQUEST) {
        controller.poll(jobId, answer)
        updateQuestionsWaiting()
    }

    /** Has a job cancelled; false if there is too much to do, and [answer] is then never called. */
    fun cancel(jobId: String, answer: (UserAnswer) -> Unit): Boolean = eventLoop.offer(EventPriority.USER_REQUEST) {
        controller.cancel(jobId, answer)
        updateQuestionsWaiting()
    }

    /**
     * No rule depends on the arrival of a peer's message. News for display wait behind the questions of users; what
     * controllers confirm to each other must not, or many questions would end all work in an outage.
     */
    fun onPeerMessage(message: PeerMessage) {
        val priority =
            if (message is PeerMessage.ShardStatusUpdate) EventPriority.USER_REQUEST else EventPriority.INTERNAL
        eventLoop.offer(priority) { controller.onPeerMessage(message) }
    }
}
