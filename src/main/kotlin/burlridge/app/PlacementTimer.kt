package burlridge.app

import burlridge.core.StepContext

/**
 * When placement rounds take place: on request, but spaced out, so that requests made meanwhile share a round, and the core has time for
 * everything else.
 */
internal class PlacementTimer(
    private val context: StepContext,
) {
    private val minIntervalSeconds = context.settings.workers.reportSeconds / MAX_ROUNDS_PER_REPORT_INTERVAL
    private var isRequested = false
    private var lastRoundAt = BEFORE_ANY_ROUND

    /** Asks for a round as soon as the spacing allows. */
    fun request() {
        isRequested = true
    }

    /** Asks for a round where none took place for a while. */
    fun requestIfIdle() {
        if (context.now > lastRoundAt + MAX_IDLE_SECONDS) request()
    }

    /** Whether a requested round is due now; the request is then used up. */
    fun consumeDueRequest(): Boolean {
        val isDue = isRequested && context.now >= lastRoundAt + minIntervalSeconds
        if (isDue) isRequested = false
        return isDue
    }

    /** A round begins now. */
    fun onRoundStarted() {
        lastRoundAt = context.now
    }

    private companion object {
        const val MAX_IDLE_SECONDS = 1.0
        const val MAX_ROUNDS_PER_REPORT_INTERVAL = 25
        const val BEFORE_ANY_ROUND = -1e9
    }
}
