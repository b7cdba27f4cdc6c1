package burlridge.simulation

import java.util.PriorityQueue

/** Virtual time: what is due runs in order, and nothing ever sleeps. */
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
