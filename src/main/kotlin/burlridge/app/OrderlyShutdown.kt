package burlridge.app

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Delays the exit of the process after SIGTERM until its leadership has been handed over, by [timeoutSeconds] at most. The signal runs a
 * shutdown hook on a separate thread; the event loop reads [isRequested] at every tick and calls [complete] when the process may exit.
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

    /** Lets the process exit: its leadership has been handed over, or no other member could take over. */
    fun complete() {
        completed.countDown()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
