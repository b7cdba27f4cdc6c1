package burlridge.core

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Limits the log lines of each kind per second: the loss of a zone would otherwise log a line for each of a thousand machines. */
internal class LogRateLimiter {
    private val linesByKind = Object2IntOpenHashMap<String>()
    private var windowEndsAt = 0.0

    /** Counts a line of [kind] at [now] and returns whether it may be logged. */
    fun tryAcquire(
        kind: String,
        now: Double,
    ): Boolean {
        if (linesByKind.isEmpty()) windowEndsAt = now + WINDOW_SECONDS
        return linesByKind.addTo(kind, 1) < MAX_LINES_PER_KIND
    }

    /** Ends the window if its time has passed; returns a line for each kind of which lines were suppressed in it. */
    fun summarize(now: Double): List<String> {
        if (linesByKind.isEmpty() || now < windowEndsAt) return emptyList()
        val summaries =
            linesByKind
                .object2IntEntrySet()
                .filter { it.intValue > MAX_LINES_PER_KIND }
                .map { "${it.intValue - MAX_LINES_PER_KIND} more in a second: ${it.key}" }
        linesByKind.clear()
        return summaries
    }

    private companion object {
        const val WINDOW_SECONDS = 1.0
        const val MAX_LINES_PER_KIND = 20
    }
}
