package burlridge.core

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Limits log lines of one kind within a second: when a zone is lost, a thousand machines are one event. */
internal class LogRateLimiter {
    private val linesByKind = Object2IntOpenHashMap<String>()
    private var windowEndsAt = 0.0

    /** Whether one more line of [kind] may be logged at [now]; lines that may not are counted. */
    fun tryAcquire(
        kind: String,
        now: Double,
    ): Boolean {
        if (linesByKind.isEmpty()) windowEndsAt = now + WINDOW_SECONDS
        return linesByKind.addTo(kind, 1) < MAX_LINES_PER_KIND
    }

    /** Once the window is over, a line for each kind of which some were left out. */
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
