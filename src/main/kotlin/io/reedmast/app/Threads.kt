package io.reedmast.app

import org.slf4j.LoggerFactory

private const val RESTART_PAUSE_MS = 500L

/**
 * Starts a daemon thread for [body] and returns it.
 *
 * If [body] fails with an exception, it is run again after a pause, since without the thread the controller would be
 * up but do nothing. Nothing stops the thread before the process ends.
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
            LoggerFactory.getLogger("main").error("thread {}: failed with an exception; restarting", name, e)
            Thread.sleep(RESTART_PAUSE_MS)
        }
    }
}
