package burlridge.failover

import burlridge.core.StepContext

/** A change of leader, as shown to operators. */
internal data class LeaderChange(
    /** Wall-clock time at which this member learned of it, in milliseconds. */
    val wallMillis: Long,
    val term: Long,
    val leader: String,
    val cause: String,
)

/** Keeps the latest [MAX_CHANGES] leader changes that this member knows of. */
internal class LeaderHistory(
    private val context: StepContext,
) {
    private val changes = ArrayDeque<LeaderChange>()

    /** Appends a change, unless [term] is already the latest one. */
    fun record(
        leader: String,
        term: Long,
        cause: String,
    ) {
        if (changes.lastOrNull()?.term == term) return
        if (changes.size == MAX_CHANGES) changes.removeFirst()
        changes.addLast(LeaderChange(context.wallMillis, term, leader, cause))
    }

    /** Returns the kept changes, oldest first. */
    fun toList(): List<LeaderChange> = changes.toList()

    private companion object {
        const val MAX_CHANGES = 32
    }
}
