package burlridge.app

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Delays the end of a process that is asked to stop (SIGTERM) until its leadership has been handed over, at most by [timeoutSeconds]. The
 * signal runs a shutdown hook on a thread of its own; the event loop reads [isRequested] at its next tick and calls [complete].
 */
internal class OrderlyShutdown(
    private val timeoutSeconds: Double,
) {
    private val completed = CountDownLatch(1)

    @Volatile
    var isRequested: Boolean = false
        private set

    /** Registers the shutdown hook. */
    fun install() {
        Runtime.getRuntime().addShutdownHook(Thread(::await, "orderly-shutdown"))
    }

    private fun await() {
        isRequested = true
        completed.await((timeoutSeconds * MILLIS_PER_SECOND).toLong(), TimeUnit.MILLISECONDS)
    }

    /** Lets the process end: nothing is left to hand over, or nobody could take over. */
    fun complete() {
        completed.countDown()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
