package burlridge.failover

import burlridge.core.TraceEvent

/** Event around a change of leader; recorded in traces if an operator has enabled them. */
internal sealed interface LeaderChangeEvent : TraceEvent {
    /** The failure detector has changed the liveness of a member. */
    data class LivenessChanged(
        val change: LivenessChange,
    ) : LeaderChangeEvent

    /** The leader has offered its term to a successor. */
    data class HandoverBegan(
        val successor: String,
        val reason: String,
    ) : LeaderChangeEvent

    /** A handover has ended, successfully or not. */
    data class HandoverEnded(
        val successor: String,
        val outcome: String,
    ) : LeaderChangeEvent

    /** This member has begun to lead [term]. */
    data class Elected(
        val term: Long,
        val cause: String,
    ) : LeaderChangeEvent

    /** The new leader has loaded its rows. */
    data class RowsRead(
        val term: Long,
        val rows: Int,
        /** False if the rows were read from the key-value store. */
        val fromReplica: Boolean,
    ) : LeaderChangeEvent

    /** The new leader has sent its first task start. */
    data class FirstTaskStart(
        val term: Long,
    ) : LeaderChangeEvent

    /** The new leader has answered every worker that it knows. */
    data class AllWorkersAnswered(
        val term: Long,
        val workers: Int,
    ) : LeaderChangeEvent

    /** This member no longer leads [term]. */
    data class Deposed(
        val term: Long,
        val cause: String,
    ) : LeaderChangeEvent
}
