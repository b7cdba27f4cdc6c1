package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Traces the progress of a new leader after its election: its first task start, and its answer to every worker. */
internal class TakeoverProgress(
    private val context: StepContext,
    private val leadership: Leadership,
    private val controller: Failover.ControllerState,
    private val trace: (LeaderChangeEvent) -> Unit,
) {
    private val term = leadership.term
    private val startsSentBefore = controller.startsSent
    private var hasSentFirstStart = false
    private var hasAnsweredAllWorkers = false
    private var nextCheckAt = 0.0

    /** Checks the progress twice in each interval between statuses. */
    fun tick() {
        if (context.now < nextCheckAt) return
        nextCheckAt = context.now + Leadership.STATUS_INTERVAL_SECONDS / 2
        checkFirstStart()
        checkWorkers()
    }

    private fun checkFirstStart() {
        if (hasSentFirstStart || controller.startsSent <= startsSentBefore) return
        hasSentFirstStart = true
        trace(LeaderChangeEvent.FirstTaskStart(term))
    }

    private fun checkWorkers() {
        if (hasAnsweredAllWorkers) return
        val workers = controller.workerResponseCount()
        if (workers.known == 0 || workers.answered != workers.known) return
        hasAnsweredAllWorkers = true
        val elapsedSeconds = context.now - leadership.electedAt
        context.info("all workers answered", "term" to term, "workers" to workers.known, "seconds" to "%.2f".format(elapsedSeconds))
        trace(LeaderChangeEvent.AllWorkersAnswered(term, workers.known))
    }
}
