package burlridge.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext

/**
 * Runs coroutines, sockets and timers on a single thread: a coroutine dispatcher that, when idle, waits in the selector for sockets and
 * timers. On a fifth of a CPU core, each switch between threads costs more than parsing a heartbeat, and `ktor-network` makes three for
 * every message.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
internal class EventLoop :
    CoroutineDispatcher(),
    Delay {
    /** Called on the event loop when a socket is ready, with the operations that are possible now. */
    internal fun interface ReadinessListener {
        fun onReady(operations: Int)
    }

    private class Timer(
        val atNanos: Long,
        val sequence: Long,
        var work: Runnable?,
    ) : Comparable<Timer> {
        override fun compareTo(other: Timer): Int = compareValuesBy(this, other, Timer::atNanos, Timer::sequence)
    }

    /** The selector that channels register with; the attachment must be a [ReadinessListener]. */
    val selector: Selector = Selector.open()

    /** Read buffer shared by all connections; its content must be copied out right after each read. */
    val readBuffer: ByteBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES)
    private val readyQueue = ArrayDeque<Runnable>()

    /** Runs before everything in [readyQueue]: lease renewals depend on it, and a busy leader must not be considered dead. */
    private val urgentQueue = ArrayDeque<Runnable>()
    private val timers = PriorityQueue<Timer>()

    /** Expired timeouts, to be run again after the sockets have been read. */
    private val expiredTimeouts = ArrayList<Runnable>()
    private var nextSequence = 0L
    private var cancelledTimers = 0
    private var stopped = false

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        readyQueue.addLast(block)
    }

    /** Dispatches to this event loop, but ahead of all coroutines of the loop's own dispatcher. */
    val urgentDispatcher: CoroutineDispatcher = UrgentDispatcher()

    private inner class UrgentDispatcher :
        CoroutineDispatcher(),
        Delay by this@EventLoop {
        override fun dispatch(
            context: CoroutineContext,
            block: Runnable,
        ) {
            urgentQueue.addLast(block)
        }
    }

    /** Runs [work] after everything that is already queued. */
    fun enqueue(work: Runnable) {
        readyQueue.addLast(work)
    }

    /** Makes [run] return after the current iteration. */
    fun stop() {
        stopped = true
    }

    /** Runs the loop on the calling thread until [stop]. */
    fun run() {
        while (!stopped) {
            // A bounded number per iteration, so that sockets, timers and urgent work are served however long the queue is.
            var remaining = minOf(readyQueue.size, MAX_RUNNABLES_PER_ITERATION)
            runUrgent()
            while (remaining-- > 0) {
                readyQueue.removeFirst().run()
                runUrgent()
            }
            runTimers()
            select()
            readyQueue.addAll(expiredTimeouts)
            expiredTimeouts.clear()
        }
    }

    private fun runUrgent() {
        while (urgentQueue.isNotEmpty()) urgentQueue.removeFirst().run()
    }

    private fun runTimers() {
        val now = System.nanoTime()
        while (true) {
            val timer = timers.peek() ?: return
            if (timer.work != null && timer.atNanos > now) return
            timers.poll()
            val work = timer.work
            if (work == null) cancelledTimers-- else work.run()
        }
    }

    private fun select() {
        if (readyQueue.isNotEmpty() || urgentQueue.isNotEmpty() || expiredTimeouts.isNotEmpty()) {
            selector.selectNow()
        } else {
            val waitMillis =
                timers.peek()?.let { (it.atNanos - System.nanoTime() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI } ?: MAX_WAIT_MILLIS
            if (waitMillis <= 0) selector.selectNow() else selector.select(waitMillis)
        }
        val keys = selector.selectedKeys()
        if (keys.isEmpty()) return
        keys.forEach { notifyListener(it) }
        keys.clear()
    }

    private fun notifyListener(key: SelectionKey) {
        if (key.isValid) (key.attachment() as ReadinessListener).onReady(key.readyOps())
    }

    private fun addTimer(
        millis: Long,
        work: Runnable,
    ): Timer = Timer(System.nanoTime() + millis * NANOS_PER_MILLI, nextSequence++, work).also { timers.add(it) }

    private fun cancel(timer: Timer) {
        if (timer.work == null) return
        timer.work = null
        // Most timers are cancelled long before they expire, so they are removed in bulk.
        if (++cancelledTimers > timers.size / 2 + CANCELLED_TIMERS_SLACK) {
            timers.removeIf { it.work == null }
            cancelledTimers = 0
        }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = addTimer(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { cancel(timer) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timeout = Timeout(block)
        val timer = addTimer(timeMillis, timeout)
        return DisposableHandle {
            timeout.disposed = true
            cancel(timer)
        }
    }

    /**
     * A timeout that applies only to responses that arrived too late, not to those that this loop was too busy to read: before [block]
     * runs, the sockets are read and the queue is processed, in as many rounds as a response needs from its socket to the waiting
     * coroutine. Otherwise an overloaded leader would consider live workers unreachable, and increase its load by allocating their tasks
     * again.
     */
    private inner class Timeout(
        private val block: Runnable,
    ) : Runnable {
        var disposed = false
        private var roundsLeft = TIMEOUT_ROUNDS

        override fun run() {
            when {
                disposed -> Unit
                roundsLeft-- > 0 -> expiredTimeouts.add(this)
                else -> block.run()
            }
        }
    }

    private companion object {
        /** Maximum number of runnables, enough for a few requests, that run between two checks of sockets and timers. */
        const val MAX_RUNNABLES_PER_ITERATION = 32
        const val READ_BUFFER_BYTES = 64 * 1024
        const val NANOS_PER_MILLI = 1_000_000L
        const val MAX_WAIT_MILLIS = 1_000L
        const val CANCELLED_TIMERS_SLACK = 64

        /** One round each for reading the socket, for the parser and for the coroutine that waits for the parser, and one in reserve. */
        const val TIMEOUT_ROUNDS = 4
    }
}
