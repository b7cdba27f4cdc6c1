package burlridge.failover

import burlridge.core.TraceEvent

/** What happens around a change of leader; recorded in traces where an operator switched them on. */
internal sealed interface LeaderChangeEvent : TraceEvent {
    /** The failure detector changed its mind about a member. */
    data class LivenessChanged(
        val change: LivenessChange,
    ) : LeaderChangeEvent

    /** The leader has offered its term. */
    data class HandoverBegan(
        val successor: String,
        val reason: String,
    ) : LeaderChangeEvent

    /** A handover has ended, however it did. */
    data class HandoverEnded(
        val successor: String,
        val outcome: String,
    ) : LeaderChangeEvent

    /** This member leads [term]. */
    data class Elected(
        val term: Long,
        val cause: String,
    ) : LeaderChangeEvent

    /** The new leader has its rows. */
    data class RowsRead(
        val term: Long,
        val rows: Int,
        /** False where the rows were read from the state service. */
        val fromReplica: Boolean,
    ) : LeaderChangeEvent

    /** The new leader sent its first start of a task. */
    data class FirstStart(
        val term: Long,
    ) : LeaderChangeEvent

    /** Every worker known to the new leader was answered in its term. */
    data class AllWorkersAnswered(
        val term: Long,
        val machines: Int,
    ) : LeaderChangeEvent

    /** This member leads [term] no more. */
    data class Deposed(
        val term: Long,
        val cause: String,
    ) : LeaderChangeEvent
}
