package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.settings.FailoverSettings

/** Counts the recent stalls of this process while it led; a leader that stalls repeatedly should hand over. */
internal class StallMonitor(
    private val context: StepContext,
    private val settings: FailoverSettings,
    private val leadership: Leadership,
) {
    private val stallTimes = ArrayDeque<Double>()
    private var previousStallCount = 0L

    /** Number of stalls within the last [FailoverSettings.STALL_WINDOW_LEASES] leases. */
    val recentStalls: Int get() = stallTimes.size

    /** Whether the operator's limit of stalls is reached; always false if none is set. */
    val isSlow: Boolean get() = settings.slowStalls > 0 && recentStalls >= settings.slowStalls

    /** Records new stalls and drops those that are outside the window. */
    fun tick() {
        if (leadership.stallCount > previousStallCount) stallTimes.addLast(context.now)
        previousStallCount = leadership.stallCount
        val windowStart = context.now - leadership.leaseTtlSeconds * FailoverSettings.STALL_WINDOW_LEASES
        while (stallTimes.isNotEmpty() && stallTimes.first() < windowStart) stallTimes.removeFirst()
    }
}
