package burlridge.failover

import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.settings.FailoverSettings

/** Counts this process's latest stalls as a leader: one that stalls again and again should hand over. */
internal class StallMonitor(
    private val context: StepContext,
    private val settings: FailoverSettings,
    private val leadership: Leadership,
) {
    private val stallTimes = ArrayDeque<Double>()
    private var stallsSeen = 0L

    /** Stalls within the last [FailoverSettings.STALL_WINDOW_LEASES] leases. */
    val recentStalls: Int get() = stallTimes.size

    /** Whether the operator's limit of stalls is reached; never where none is set. */
    val isSlow: Boolean get() = settings.slowStalls > 0 && recentStalls >= settings.slowStalls

    /** Takes note of new stalls and forgets old ones. */
    fun tick() {
        if (leadership.stallCount > stallsSeen) stallTimes.addLast(context.now)
        stallsSeen = leadership.stallCount
        val windowStart = context.now - leadership.leaseTtlSeconds * FailoverSettings.STALL_WINDOW_LEASES
        while (stallTimes.isNotEmpty() && stallTimes.first() < windowStart) stallTimes.removeFirst()
    }
}
