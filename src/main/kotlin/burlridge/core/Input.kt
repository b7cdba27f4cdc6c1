package burlridge.core

import burlridge.message.PeerMessage

/** An event outside the core; each step of the core processes one. */
internal sealed interface Input {
    /** A timer tick, about every tenth of a second. */
    data object Tick : Input

    /** A request to stop the process, which may hand over the leadership first. */
    data object DrainRequested : Input

    /** A request of a user, a worker or an operator; answered by an [Effect.Respond] with the same [id]. */
    data class Request(
        val id: Long,
        val method: String,
        val path: String,
        val query: String,
        val body: String,
    ) : Input

    /** The outcome of the [Effect.HttpCall] with the same [callId]. */
    data class CallCompleted(
        val callId: Long,
        val outcome: CallOutcome,
    ) : Input

    /** A message from another controller. */
    data class MessageReceived(
        val message: PeerMessage,
    ) : Input
}

/** How a call to an outside system ended. */
internal sealed interface CallOutcome {
    /** An HTTP response arrived, whatever its status. */
    data class Responded(
        val status: Int,
        val body: String,
    ) : CallOutcome

    /** No connection was made, so the request has not been executed and will not be. */
    data object NotSent : CallOutcome

    /** The request was sent but no response arrived: it may have been executed, or may still be. */
    data object Unknown : CallOutcome
}
