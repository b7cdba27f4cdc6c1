package burlridge.simulation

import java.util.PriorityQueue

/** A virtual clock that runs scheduled actions in order of time, and in order of scheduling if the times are equal. Nothing blocks. */
internal class Clock {
    var now = 0.0
        private set
    private var sequence = 0L
    private val events = PriorityQueue<Event>(compareBy<Event> { it.time }.thenBy { it.sequence })

    private class Event(
        val time: Double,
        val sequence: Long,
        val action: () -> Unit,
    )

    fun after(
        delay: Double,
        action: () -> Unit,
    ) {
        events.add(Event(now + delay, sequence++, action))
    }

    fun runUntil(end: Double) {
        while (true) {
            val next = events.peek()?.takeIf { it.time <= end } ?: break
            events.poll()
            now = next.time
            next.action()
        }
        now = end
    }
}
