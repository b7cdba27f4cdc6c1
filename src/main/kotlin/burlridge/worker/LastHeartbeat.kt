package burlridge.worker

/**
 * A report that was read in full, by its words before and after the number of the message. One that differs in that number alone says
 * nothing new, and most do: it need not be read again.
 */
internal class LastHeartbeat private constructor(
    private val text: String,
    private val numberAt: Int,
    private val numberEnd: Int,
) {
    /** The number of the message [body] where that is all that differs; null where [body] has to be read. */
    fun numberOf(body: String): Long? {
        if (!body.regionMatches(0, text, 0, numberAt)) return null
        val end = endOfNumber(body, numberAt)
        val rest = text.length - numberEnd
        if (end == numberAt || end - numberAt > MOST_DIGITS || body.length - end != rest) return null
        return if (body.regionMatches(end, text, numberEnd, rest)) body.substring(numberAt, end).toLong() else null
    }

    internal companion object {
        private const val KEY = "\"tally\":"
        private const val MOST_DIGITS = 18

        /** Null where the number does not stand plainly in [body]. */
        fun of(
            body: String,
            number: Long,
        ): LastHeartbeat? {
            val at = body.indexOf(KEY).takeIf { it >= 0 }?.plus(KEY.length) ?: return null
            val end = endOfNumber(body, at)
            return LastHeartbeat(body, at, end).takeIf { body.substring(at, end) == number.toString() }
        }

        private fun endOfNumber(
            body: String,
            from: Int,
        ): Int {
            var end = from
            while (end < body.length && body[end] in '0'..'9') end++
            return end
        }

        private const val NAME = "{\"drover\":\""

        /** The name that a report in its usual form begins with; the report itself has still to be read or compared. */
        fun nameIn(body: String): String? {
            if (!body.startsWith(NAME)) return null
            val end = body.indexOf('"', NAME.length)
            return if (end < 0) null else body.substring(NAME.length, end)
        }
    }
}
