package burlridge.core

import java.util.PriorityQueue

/** Actions scheduled for a later time; those due at the same time run in the order in which they were scheduled. */
internal class ScheduledActions {
    private class ScheduledAction(
        val dueAt: Double,
        val sequenceNumber: Long,
        val action: () -> Unit,
    ) : Comparable<ScheduledAction> {
        override fun compareTo(other: ScheduledAction): Int =
            compareValuesBy(this, other, ScheduledAction::dueAt, ScheduledAction::sequenceNumber)
    }

    private val queue = PriorityQueue<ScheduledAction>()
    private var nextSequenceNumber = 0L

    /** Schedules [action] for the monotonic time [dueAt], in seconds. */
    fun add(
        dueAt: Double,
        action: () -> Unit,
    ) {
        queue.add(ScheduledAction(dueAt, nextSequenceNumber++, action))
    }

    /** Runs all actions that are due at [now], including those that they themselves schedule for [now] or earlier. */
    fun runDue(now: Double) {
        while (true) {
            val due = queue.peek()?.takeIf { it.dueAt <= now } ?: return
            queue.poll()
            due.action()
        }
    }
}
