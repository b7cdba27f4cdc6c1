package burlridge.failover

import burlridge.core.TraceEvent

/** What happens around a change of leader, as told to whoever keeps traces. */
internal sealed interface LeaderChangeEvent : TraceEvent {
    data class LivenessChanged(
        val change: LivenessChange,
    ) : LeaderChangeEvent

    data class HandoverBegan(
        val successor: String,
        val reason: String,
    ) : LeaderChangeEvent

    data class HandoverEnded(
        val successor: String,
        val outcome: String,
    ) : LeaderChangeEvent

    data class Elected(
        val term: Long,
        val cause: String,
    ) : LeaderChangeEvent

    data class RowsRead(
        val term: Long,
        val rows: Int,
        val fromReplica: Boolean,
    ) : LeaderChangeEvent

    data class FirstStart(
        val term: Long,
    ) : LeaderChangeEvent

    data class AllWorkersAnswered(
        val term: Long,
        val machines: Int,
    ) : LeaderChangeEvent

    data class Deposed(
        val term: Long,
        val cause: String,
    ) : LeaderChangeEvent
}

/** One change of leader as an operator sees it. */
internal data class LeaderChange(
    val wallMillis: Long,
    val term: Long,
    val leader: String,
    val cause: String,
)
