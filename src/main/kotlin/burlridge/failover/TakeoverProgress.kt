package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Observes what a new leader reaches after its election: its first start of a task, and an answer to every worker. */
internal class TakeoverProgress(
    private val context: StepContext,
    private val leadership: Leadership,
    private val controller: Failover.ControllerState,
    private val trace: (LeaderChangeEvent) -> Unit,
) {
    private val term = leadership.term
    private val startsBefore = controller.startsSent
    private var hasStarted = false
    private var hasAnsweredAll = false
    private var nextCheckAt = 0.0

    /** Checks twice in each interval between statuses. */
    fun tick() {
        if (context.now < nextCheckAt) return
        nextCheckAt = context.now + Leadership.STATUS_INTERVAL_SECONDS / 2
        checkFirstStart()
        checkWorkers()
    }

    private fun checkFirstStart() {
        if (hasStarted || controller.startsSent <= startsBefore) return
        hasStarted = true
        trace(LeaderChangeEvent.FirstStart(term))
    }

    private fun checkWorkers() {
        if (hasAnsweredAll) return
        val workers = controller.workerResponseCount()
        if (workers.known == 0 || workers.answered != workers.known) return
        hasAnsweredAll = true
        val elapsedSeconds = context.now - leadership.electedAt
        context.info("all workers answered", "term" to term, "workers" to workers.known, "seconds" to "%.2f".format(elapsedSeconds))
        trace(LeaderChangeEvent.AllWorkersAnswered(term, workers.known))
    }
}
