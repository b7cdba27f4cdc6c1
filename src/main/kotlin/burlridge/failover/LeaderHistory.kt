package burlridge.failover

import burlridge.core.StepContext

/** One change of leader as an operator sees it. */
internal data class LeaderChange(
    /** When this member learned of it, in milliseconds of the time of day. */
    val wallMillis: Long,
    val term: Long,
    val leader: String,
    val cause: String,
)

/** The latest leader changes that this member knows of, the oldest first. */
internal class LeaderHistory(
    private val context: StepContext,
) {
    private val changes = ArrayDeque<LeaderChange>()

    /** Appends a change, unless [term] is the latest one already. */
    fun record(
        leader: String,
        term: Long,
        cause: String,
    ) {
        if (changes.lastOrNull()?.term == term) return
        if (changes.size == MAX_CHANGES) changes.removeFirst()
        changes.addLast(LeaderChange(context.wallMillis, term, leader, cause))
    }

    /** The kept changes, oldest first. */
    fun toList(): List<LeaderChange> = changes.toList()

    private companion object {
        const val MAX_CHANGES = 32
    }
}
