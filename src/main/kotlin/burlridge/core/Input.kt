package burlridge.core

import burlridge.message.PeerMessage

/** What happens outside and the core is told of, one at a time. */
internal sealed interface Input {
    /** Time has passed; comes about every tenth of a second. */
    data object Tick : Input

    /** The process is asked to stop; it may hand leadership over first. */
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
    /** An HTTP response came, whatever its status. */
    data class Responded(
        val status: Int,
        val body: String,
    ) : CallOutcome

    /** No connection was made, so nothing was executed and nothing will be. */
    data object NotSent : CallOutcome

    /** The request left and no response came: it may have been executed, or may still be. */
    data object Unknown : CallOutcome
}
