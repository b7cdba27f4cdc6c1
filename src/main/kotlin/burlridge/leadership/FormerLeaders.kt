package burlridge.leadership

import burlridge.core.StepContext

/**
 * Tracks which members led before the current term and may still answer workers under an earlier term, and which of them have confirmed
 * that they no longer do.
 */
internal class FormerLeaders(
    private val context: StepContext,
    /** How long a leader may answer workers after its last lease renewal. */
    private val answerWindowSeconds: Double,
) {
    private val member = context.settings.member
    private val otherMembers: Set<String> = context.settings.others.mapTo(HashSet()) { it.member }

    /** Members that may not have detected yet that their term has ended. */
    private var mayStillAnswer: Set<String> = emptySet()

    /** Wall-clock time in milliseconds at which the term of each former leader ended. */
    private var termEndMillis: Map<String, Long> = emptyMap()
    private val confirmed = HashSet<String>()
    private var lastConfirmedAt = 0.0
    private var electedAt = 0.0

    /** Monotonic time after which no former leader can be answering workers, in seconds. */
    val answerUntil: Double
        get() = if (confirmed.containsAll(mayStillAnswer)) maxOf(lastConfirmedAt, electedAt) else electedAt + answerWindowSeconds

    /**
     * Begins a term of this member. The member itself is left out of [formerLeaders], since its own earlier term has ended. Null means that
     * the rows do not name the former leaders, so that any other member may be one.
     */
    fun beginTerm(formerLeaders: Map<String, Long>?) {
        mayStillAnswer = (formerLeaders?.keys ?: otherMembers) - member
        termEndMillis = formerLeaders.orEmpty()
        electedAt = context.now
        confirmed.clear()
        lastConfirmedAt = 0.0
    }

    /** Records the confirmation of [from] that it answers no worker under a term before the current one. */
    fun onConfirmed(from: String) {
        if (from in mayStillAnswer && confirmed.add(from)) lastConfirmedAt = context.now
    }

    /** Returns the former leaders for the term row of this member's successor, if this member's term ends now. */
    fun afterOwnTerm(): Map<String, Long> = filterRecent(termEndMillis + (member to context.wallMillis))

    /** Returns the former leaders for the term row after [row], whose term has ended by now; null if [row] does not name them. */
    fun afterTerm(row: TermRow): Map<String, Long>? {
        val formerLeaders = row.formerLeaders ?: return null
        val lastLeader = row.leader ?: return null
        return filterRecent(formerLeaders + (lastLeader to context.wallMillis))
    }

    private fun filterRecent(termEndMillis: Map<String, Long>): Map<String, Long> {
        val retentionMillis = (answerWindowSeconds * RETENTION_WINDOWS * MILLIS_PER_SECOND).toLong()
        return termEndMillis.filterValues { context.wallMillis - it < retentionMillis }
    }

    private companion object {
        /** How long a former leader is kept, in answer windows. The wall clocks of two members differ by far less than that. */
        const val RETENTION_WINDOWS = 2
        const val MILLIS_PER_SECOND = 1000
    }
}
