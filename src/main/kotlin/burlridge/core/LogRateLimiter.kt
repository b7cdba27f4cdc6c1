package burlridge.core

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap

/** Lines alike that come in floods: a machine room that goes dark is one event, not a thousand. */
internal class LogRateLimiter {
    private val seen = Object2IntOpenHashMap<String>()
    private var endsAt = 0.0

    /** Whether one more line of [kind] is to be logged. */
    fun admits(
        kind: String,
        now: Double,
    ): Boolean {
        if (seen.isEmpty()) endsAt = now + WINDOW_SECONDS
        return seen.addTo(kind, 1) < MOST_ALIKE
    }

    /** Once the second is over, how many lines of each kind were left out. */
    fun summarize(now: Double): List<String> {
        if (seen.isEmpty() || now < endsAt) return emptyList()
        val sums =
            seen
                .object2IntEntrySet()
                .filter { it.intValue > MOST_ALIKE }
                .map { "${it.intValue - MOST_ALIKE} more in a second: ${it.key}" }
        seen.clear()
        return sums
    }

    private companion object {
        const val WINDOW_SECONDS = 1.0
        const val MOST_ALIKE = 20
    }
}
