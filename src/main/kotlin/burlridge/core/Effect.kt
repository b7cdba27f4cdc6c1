package burlridge.core

import burlridge.message.PeerMessage
import burlridge.settings.Endpoint

/** What the core wants done outside; whoever steps the core carries effects out in their order. */
internal sealed interface Effect {
    /**
     * Time of the steady clock, in seconds, after which this must not leave any more: the process may have been paused since it was
     * decided, and another member elected. [NO_DEADLINE] for what a fence makes safe at any time.
     */
    val sendDeadline: Double get() = NO_DEADLINE

    /** The response to the [Input.Request] with the same [id]. */
    data class Respond(
        val id: Long,
        val status: Int,
        val body: String,
        /** Value of the `Retry-After` header; null for no such header. */
        val retryAfterSeconds: Int?,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    /** A call to the key-value store, the cloud or a worker; its outcome comes back as [Input.CallCompleted]. */
    data class HttpCall(
        val callId: Long,
        val target: Endpoint,
        val method: String,
        val path: String,
        /** Null for a request without a body. */
        val body: String?,
        val timeoutSeconds: Double,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    /** A message to another controller; nobody is told whether it arrives. */
    data class SendToPeer(
        val member: String,
        val message: PeerMessage,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    /** Something for the trace file; emitted only where an operator has set one. */
    data class Trace(
        val event: TraceEvent,
        val wallMillis: Long,
    ) : Effect

    /** A line for the log. */
    data class Log(
        val level: LogLevel,
        val text: String,
    ) : Effect

    companion object {
        /** Stands for no deadline. */
        const val NO_DEADLINE: Double = Double.MAX_VALUE
    }
}

/** Levels of log lines; `LOG_LEVEL` names the lowest one that is written. */
internal enum class LogLevel { ERROR, INFO, DEBUG }

/** Something that a trace can record; each package declares its own kinds. */
internal interface TraceEvent
