package burlridge.core

import burlridge.message.PeerMessage
import burlridge.settings.Endpoint

/** What the outside tells the core. */
internal sealed interface Input {
    data object Tick : Input

    /** The process is asked to stop; it may hand over first. */
    data object DrainRequested : Input

    data class Request(
        val id: Long,
        val method: String,
        val path: String,
        val query: String,
        val body: String,
    ) : Input

    data class CallCompleted(
        val callId: Long,
        val outcome: CallOutcome,
    ) : Input

    data class MessageReceived(
        val message: PeerMessage,
    ) : Input
}

/** How a call to the outside ended. */
internal sealed interface CallOutcome {
    data class Responded(
        val status: Int,
        val body: String,
    ) : CallOutcome

    /** No connection was made, so nothing was executed and nothing will be. */
    data object NotSent : CallOutcome

    /** Possibly executed, possibly still to be executed. */
    data object Unknown : CallOutcome
}

internal enum class LogLevel { ERROR, INFO, DEBUG }

/** Something that a trace can record; each package declares its own kinds. */
internal interface TraceEvent

/** What the core wants done. */
internal sealed interface Effect {
    /**
     * The time of the steady clock after which this must not leave any more: whoever carries it out may have stood still since it was
     * decided. [NO_DEADLINE] for what a fence makes safe at any time.
     */
    val sendDeadline: Double get() = NO_DEADLINE

    data class Respond(
        val id: Long,
        val status: Int,
        val body: String,
        val retryAfterSeconds: Int?,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    data class HttpCall(
        val callId: Long,
        val target: Endpoint,
        val method: String,
        val path: String,
        val body: String?,
        val timeoutSeconds: Double,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    data class SendToPeer(
        val member: String,
        val message: PeerMessage,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    /** For whoever keeps traces; sent only where an operator switched them on. */
    data class Trace(
        val event: TraceEvent,
        val wallMillis: Long,
    ) : Effect

    data class Log(
        val level: LogLevel,
        val text: String,
    ) : Effect

    companion object {
        const val NO_DEADLINE: Double = Double.MAX_VALUE
    }
}
