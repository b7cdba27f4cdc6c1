package burlridge.leadership

import burlridge.core.StepContext

/**
 * Who led before the current term and may still answer workers by an earlier one, and which of them have confirmed that they no longer do.
 */
internal class FormerLeaders(
    private val context: StepContext,
    /** How long after its last renewal a leader may answer workers. */
    private val answerWindowSeconds: Double,
) {
    private val member = context.settings.member
    private val otherMembers: Set<String> = context.settings.others.mapTo(HashSet()) { it.member }

    /** Who may not have noticed yet that its term is over. */
    private var mayStillAnswer: Set<String> = emptySet()

    /** When the terms before this one ended, in milliseconds of the wall clock. */
    private var termEndMillis: Map<String, Long> = emptyMap()
    private val confirmed = HashSet<String>()
    private var lastConfirmedAt = 0.0
    private var electedAt = 0.0

    /** No former leader can be answering workers after this time of the steady clock. */
    val answerUntil: Double
        get() = if (confirmed.containsAll(mayStillAnswer)) maxOf(lastConfirmedAt, electedAt) else electedAt + answerWindowSeconds

    /**
     * A term of this member begins. The member itself is left out of [formerLeaders]: its former self is dead. Null means that the rows do
     * not say who led, so that any other member may have.
     */
    fun beginTerm(formerLeaders: Map<String, Long>?) {
        mayStillAnswer = (formerLeaders?.keys ?: otherMembers) - member
        termEndMillis = formerLeaders.orEmpty()
        electedAt = context.now
        confirmed.clear()
        lastConfirmedAt = 0.0
    }

    /** [from] confirms that it answers no worker by a term before the current one. */
    fun onConfirmed(from: String) {
        if (from in mayStillAnswer && confirmed.add(from)) lastConfirmedAt = context.now
    }

    /** What the term row of this member's successor says, if the term of this member ends now. */
    fun afterOwnTerm(): Map<String, Long> = filterRecent(termEndMillis + (member to context.wallMillis))

    /** What the term row says after the term of [row] has ended, at the latest now; null where [row] does not say who led. */
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
        /** The wall clocks of two members differ by far less than the bound for which a former leader is remembered. */
        const val RETENTION_WINDOWS = 2
        const val MILLIS_PER_SECOND = 1000
    }
}
