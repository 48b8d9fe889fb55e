package io.reedmast.app

import org.slf4j.LoggerFactory

private const val RESTART_PAUSE_MS = 500L

/**
 * Starts a daemon thread for [body] and returns it.
 *
 * A body that fails with an exception is begun again after a pause, since a controller without that thread would be up
 * and do nothing. Nothing stops such a thread but the end of the process.
 */
internal fun startThread(name: String, body: () -> Unit): Thread {
    val thread = Thread({ runRestarting(name, body) }, name)
    thread.isDaemon = true
    thread.start()
    return thread
}

private fun runRestarting(name: String, body: () -> Unit) {
    while (true) {
        try {
            body()
            return
        } catch (e: RuntimeException) {
            LoggerFactory.getLogger("main").error("thread {}: failed and restarts", name, e)
            Thread.sleep(RESTART_PAUSE_MS)
        }
    }
}
