package burlridge.worker

/**
 * The text of a heartbeat that was read in full, split around its sequence. Most heartbeats differ from the one before in the sequence
 * alone, and need not be read again.
 */
internal class LastHeartbeat private constructor(
    private val text: String,
    private val sequenceStart: Int,
    private val sequenceEnd: Int,
) {
    /** The sequence of [body] if that is all that differs from this heartbeat; null if [body] has to be read. */
    fun sequenceIfUnchanged(body: String): Long? {
        if (!body.regionMatches(0, text, 0, sequenceStart)) return null
        val end = endOfNumber(body, sequenceStart)
        val digits = end - sequenceStart
        val suffixLength = text.length - sequenceEnd
        if (digits == 0 || digits > MAX_DIGITS || body.length - end != suffixLength) return null
        return if (body.regionMatches(end, text, sequenceEnd, suffixLength)) body.substring(sequenceStart, end).toLong() else null
    }

    internal companion object {
        private const val SEQUENCE_KEY = "\"tally\":"

        /** Numbers of up to so many digits fit a `Long`. */
        private const val MAX_DIGITS = 18

        /** Null if [sequence] does not stand in [body] as a plain number. */
        fun of(
            body: String,
            sequence: Long,
        ): LastHeartbeat? {
            val start = body.indexOf(SEQUENCE_KEY).takeIf { it >= 0 }?.plus(SEQUENCE_KEY.length) ?: return null
            val end = endOfNumber(body, start)
            return LastHeartbeat(body, start, end).takeIf { body.substring(start, end) == sequence.toString() }
        }

        private fun endOfNumber(
            body: String,
            start: Int,
        ): Int {
            var end = start
            while (end < body.length && body[end] in '0'..'9') end++
            return end
        }

        private const val MACHINE_PREFIX = "{\"drover\":\""

        /** The machine id that a heartbeat in its usual form begins with; the heartbeat itself has still to be read or compared. */
        fun machineIdIn(body: String): String? {
            if (!body.startsWith(MACHINE_PREFIX)) return null
            val end = body.indexOf('"', MACHINE_PREFIX.length)
            return if (end < 0) null else body.substring(MACHINE_PREFIX.length, end)
        }
    }
}
