package burlridge.worker

/**
 * The text of a heartbeat that was decoded in full, with the position of its sequence number. Most heartbeats differ from the previous one
 * only in the sequence number and need not be decoded again.
 */
internal class LastHeartbeat private constructor(
    private val text: String,
    private val sequenceStart: Int,
    private val sequenceEnd: Int,
) {
    /** Returns the sequence number of [body] if nothing else differs from this heartbeat; null if [body] must be decoded. */
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

        /** Any number of at most this many digits fits into a `Long`. */
        private const val MAX_DIGITS = 18

        /** Returns null unless the first [SEQUENCE_KEY] in [body] is directly followed by [sequence] in plain decimal digits. */
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

        /** Returns the machine id if [body] begins with it, as heartbeats usually do. [body] must still be decoded or compared. */
        fun machineIdIn(body: String): String? {
            if (!body.startsWith(MACHINE_PREFIX)) return null
            val end = body.indexOf('"', MACHINE_PREFIX.length)
            return if (end < 0) null else body.substring(MACHINE_PREFIX.length, end)
        }
    }
}
