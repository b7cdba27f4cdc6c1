package burlridge.app

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/**
 * Holds up the end of a process that is asked to stop (SIGTERM) until its leadership has been handed over, at most [patienceS]. The
 * signal arrives on a thread of its own; the event loop looks at [requested] at its next tick.
 */
internal class OrderlyShutdown(
    private val patienceS: Double,
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
        done.await((patienceS * MS_A_S).toLong(), TimeUnit.MILLISECONDS)
    }

    /** Nothing is left to hand over. */
    fun complete() {
        done.countDown()
    }

    private companion object {
        const val MS_A_S = 1000
    }
}
