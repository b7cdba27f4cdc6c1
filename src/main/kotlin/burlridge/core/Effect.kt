package burlridge.core

import burlridge.message.PeerMessage
import burlridge.settings.Endpoint

/** An action that the core requests from its caller, which carries out the effects of a step in their order. */
internal sealed interface Effect {
    /**
     * Monotonic time, in seconds, after which this effect must not be sent: the process may have been paused since the decision, and
     * another member may have been elected. [NO_DEADLINE] for effects that are safe at any time, such as writes guarded by a fencing token.
     */
    val sendDeadline: Double get() = NO_DEADLINE

    /** The response to the [Input.Request] with the same [id]. */
    data class Respond(
        val id: Long,
        val status: Int,
        val body: String,
        /** Value of the `Retry-After` header; null to omit the header. */
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

    /** A message to another controller; its delivery is not confirmed. */
    data class SendToPeer(
        val member: String,
        val message: PeerMessage,
        override val sendDeadline: Double = NO_DEADLINE,
    ) : Effect

    /** An event for the trace file; emitted only if the operators' settings name one. */
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
        /** The [sendDeadline] of effects without one. */
        const val NO_DEADLINE: Double = Double.MAX_VALUE
    }
}

/** Levels of log lines; the environment variable `LOG_LEVEL` names the least severe one that is written. */
internal enum class LogLevel { ERROR, INFO, DEBUG }

/** An event that a trace can record; each package declares its own types of events. */
internal interface TraceEvent
