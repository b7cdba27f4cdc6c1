package burlridge.app

import burlridge.core.StepContext

/**
 * Schedules placement rounds: on request, but with a minimum interval, so that requests made in between share a round and the core has time
 * for all other work.
 */
internal class PlacementTimer(
    private val context: StepContext,
) {
    private val minIntervalSeconds = context.settings.workers.reportSeconds / MAX_ROUNDS_PER_HEARTBEAT_INTERVAL
    private var isRequested = false
    private var lastRoundAt = BEFORE_ANY_ROUND

    /** Requests a round as soon as the minimum interval allows. */
    fun request() {
        isRequested = true
    }

    /** Requests a round if none has taken place for [MAX_IDLE_SECONDS]. */
    fun requestIfIdle() {
        if (context.now > lastRoundAt + MAX_IDLE_SECONDS) request()
    }

    /** Returns whether a requested round is due now; if so, clears the request. */
    fun consumeDueRequest(): Boolean {
        val isDue = isRequested && context.now >= lastRoundAt + minIntervalSeconds
        if (isDue) isRequested = false
        return isDue
    }

    /** Records that a round begins now. */
    fun onRoundStarted() {
        lastRoundAt = context.now
    }

    private companion object {
        const val MAX_IDLE_SECONDS = 1.0
        const val MAX_ROUNDS_PER_HEARTBEAT_INTERVAL = 25
        const val BEFORE_ANY_ROUND = -1e9
    }
}
