package burlridge.simulation

import java.util.PriorityQueue

/** Virtual time: what is due runs in order, and nothing ever sleeps. */
internal class Clock {
    var now = 0.0
        private set
    private var order = 0L
    private val due = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })

    private class Event(
        val at: Double,
        val order: Long,
        val work: () -> Unit,
    )

    fun after(
        delay: Double,
        work: () -> Unit,
    ) {
        due.add(Event(now + delay, order++, work))
    }

    fun runUntil(end: Double) {
        while (true) {
            val next = due.peek()?.takeIf { it.at <= end } ?: break
            due.poll()
            now = next.at
            next.work()
        }
        now = end
    }
}
