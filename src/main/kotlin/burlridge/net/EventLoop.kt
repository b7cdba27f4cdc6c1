package burlridge.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.PriorityQueue
import kotlin.coroutines.CoroutineContext

/**
 * One thread for everything: a dispatcher of coroutines whose idle wait is the wait for sockets and timers. On a fifth of a
 * core each hand-over between threads costs more than parsing a report, and `ktor-network` makes three for every message.
 */
@OptIn(InternalCoroutinesApi::class)
internal class EventLoop :
    CoroutineDispatcher(),
    Delay {
    /** What waits for a socket; called on the loop with the operations that it can now do. */
    internal fun interface Ready {
        fun ready(operations: Int)
    }

    private class Timer(
        val at: Long,
        val order: Long,
        var work: Runnable?,
    ) : Comparable<Timer> {
        override fun compareTo(other: Timer): Int = compareValuesBy(this, other, Timer::at, Timer::order)
    }

    val selector: Selector = Selector.open()

    /** Shared by all connections: what is read is copied out at once. */
    val buffer: ByteBuffer = ByteBuffer.allocateDirect(READ_BYTES)
    private val due = ArrayDeque<Runnable>()

    /** What goes before all bulk work: the leader's lease hangs on it, and a slow leader must not be taken for a dead one. */
    private val first = ArrayDeque<Runnable>()
    private val timers = PriorityQueue<Timer>()

    /** Timeouts that have run out, to be looked at again once the sockets have been. */
    private val afterSelect = ArrayList<Runnable>()
    private var nextOrder = 0L
    private var cancelled = 0
    private var stopped = false

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        due.addLast(block)
    }

    /** The same loop, for coroutines whose turns come before all others. */
    val urgent: CoroutineDispatcher = Urgent()

    private inner class Urgent :
        CoroutineDispatcher(),
        Delay by this@EventLoop {
        override fun dispatch(
            context: CoroutineContext,
            block: Runnable,
        ) {
            first.addLast(block)
        }
    }

    /** Runs [work] in a turn of its own, after what is due already. */
    fun enqueue(work: Runnable) {
        due.addLast(work)
    }

    fun stop() {
        stopped = true
    }

    fun run() {
        while (!stopped) {
            // A slice of what was due at the start of the turn, so that sockets, timers and urgent work get theirs however much waits.
            var left = minOf(due.size, SLICE)
            urgently()
            while (left-- > 0) {
                due.removeFirst().run()
                urgently()
            }
            fire()
            select()
            due.addAll(afterSelect)
            afterSelect.clear()
        }
    }

    private fun urgently() {
        while (first.isNotEmpty()) first.removeFirst().run()
    }

    private fun fire() {
        val now = System.nanoTime()
        while (true) {
            val timer = timers.peek() ?: return
            if (timer.work != null && timer.at > now) return
            timers.poll()
            val work = timer.work
            if (work == null) cancelled-- else work.run()
        }
    }

    private fun select() {
        if (due.isNotEmpty() || first.isNotEmpty() || afterSelect.isNotEmpty()) {
            selector.selectNow()
        } else {
            val waitMillis =
                timers.peek()?.let { (it.at - System.nanoTime() + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI } ?: LONGEST_WAIT_MILLIS
            if (waitMillis <= 0) selector.selectNow() else selector.select(waitMillis)
        }
        val keys = selector.selectedKeys()
        if (keys.isEmpty()) return
        keys.forEach { ready(it) }
        keys.clear()
    }

    private fun ready(key: SelectionKey) {
        if (key.isValid) (key.attachment() as Ready).ready(key.readyOps())
    }

    private fun after(
        ms: Long,
        work: Runnable,
    ): Timer = Timer(System.nanoTime() + ms * NANOS_PER_MILLI, nextOrder++, work).also { timers.add(it) }

    private fun cancel(timer: Timer) {
        if (timer.work == null) return
        timer.work = null
        // Most timers are cancelled long before their time: they are cleared away together.
        if (++cancelled > timers.size / 2 + SPARE_TIMERS) {
            timers.removeIf { it.work == null }
            cancelled = 0
        }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        val timer = after(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { cancel(timer) }
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timeout = Timeout(block)
        val timer = after(timeMillis, timeout)
        return DisposableHandle {
            timeout.disposed = true
            cancel(timer)
        }
    }

    /**
     * A timeout that counts only what came too late, not what this loop was too slow to read: before [block] runs, the sockets are looked
     * at and all that is due gets its turn, as often as an answer takes turns from its socket to whoever waits for it. An overloaded
     * leader else takes live workers for unreachable, and what it claims for them anew only adds to its load.
     */
    private inner class Timeout(
        private val block: Runnable,
    ) : Runnable {
        var disposed = false
        private var roundsLeft = TIMEOUT_ROUNDS

        override fun run() {
            when {
                disposed -> Unit
                roundsLeft-- > 0 -> afterSelect.add(this)
                else -> block.run()
            }
        }
    }

    private companion object {
        /** So many turns of coroutines, a handful of requests, between two looks at sockets and timers. */
        const val SLICE = 32
        const val READ_BYTES = 64 * 1024
        const val NANOS_PER_MILLI = 1_000_000L
        const val LONGEST_WAIT_MILLIS = 1_000L
        const val SPARE_TIMERS = 64

        /** The read of a socket, the parser that waits for it, and whoever waits for the parser: one round each, and one to spare. */
        const val TIMEOUT_ROUNDS = 4
    }
}
