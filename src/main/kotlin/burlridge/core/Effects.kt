package burlridge.core

import burlridge.message.PeerMessage
import burlridge.settings.Endpoint

/** What the outside tells the core. */
internal sealed interface Input {
    data object Tick : Input

    /** The process is asked to stop; it may hand over first. */
    data object Drain : Input

    data class Request(
        val id: Long,
        val method: String,
        val path: String,
        val query: String,
        val body: String,
    ) : Input

    data class CallDone(
        val call: Long,
        val outcome: Outcome,
    ) : Input

    data class FromPeer(
        val message: PeerMessage,
    ) : Input
}

/** How a call to the outside ended. */
internal sealed interface Outcome {
    data class Answered(
        val status: Int,
        val body: String,
    ) : Outcome

    /** No connection was made, so nothing was executed and nothing will be. */
    data object NotSent : Outcome

    /** Possibly executed, possibly still to be executed. */
    data object Unknown : Outcome
}

internal enum class Level { ERROR, INFO, DEBUG }

/** Something that a trace can record; each package declares its own kinds. */
internal interface TraceEvent

/** What the core wants done. */
internal sealed interface Effect {
    /**
     * The time of the steady clock after which this must not leave any more: whoever carries it out may have stood still since it was
     * decided. [NEVER_TOO_LATE] for what a fence makes safe at any time.
     */
    val leaveBy: Double get() = NEVER_TOO_LATE

    data class Answer(
        val id: Long,
        val status: Int,
        val body: String,
        val retryAfterS: Int?,
        override val leaveBy: Double = NEVER_TOO_LATE,
    ) : Effect

    data class Call(
        val call: Long,
        val target: Endpoint,
        val method: String,
        val path: String,
        val body: String?,
        val timeoutS: Double,
        override val leaveBy: Double = NEVER_TOO_LATE,
    ) : Effect

    data class Send(
        val member: String,
        val message: PeerMessage,
        override val leaveBy: Double = NEVER_TOO_LATE,
    ) : Effect

    /** For whoever keeps traces; sent only where an operator switched them on. */
    data class Trace(
        val event: TraceEvent,
        val wallMs: Long,
    ) : Effect

    data class Log(
        val level: Level,
        val text: String,
    ) : Effect

    companion object {
        const val NEVER_TOO_LATE: Double = Double.MAX_VALUE
    }
}
