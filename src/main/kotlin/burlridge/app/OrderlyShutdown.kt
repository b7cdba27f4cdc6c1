package burlridge.app

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Holds up the end of a process that is asked to stop (SIGTERM) until its leadership has been handed over, at most [patienceSeconds]. The
 * signal arrives on a thread of its own; the event loop looks at [requested] at its next tick.
 */
internal class OrderlyShutdown(
    private val patienceSeconds: Double,
) {
    private val done = CountDownLatch(1)

    @Volatile
    var requested: Boolean = false
        private set

    fun install() {
        Runtime.getRuntime().addShutdownHook(Thread(::await, "orderly-shutdown"))
    }

    private fun await() {
        requested = true
        done.await((patienceSeconds * MILLIS_PER_SECOND).toLong(), TimeUnit.MILLISECONDS)
    }

    /** Nothing is left to hand over. */
    fun complete() {
        done.countDown()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000
    }
}
