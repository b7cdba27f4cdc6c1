package burlridge.core

import burlridge.peer.PeerMessage

/** What the outside tells the core. */
internal sealed interface Input {
    data object Tick : Input

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

/** What the core wants done. */
internal sealed interface Effect {
    data class Answer(
        val id: Long,
        val status: Int,
        val body: String,
        val retryAfterS: Int?,
    ) : Effect

    data class Call(
        val call: Long,
        val target: Endpoint,
        val method: String,
        val path: String,
        val body: String?,
        val timeoutS: Double,
    ) : Effect

    data class Send(
        val member: String,
        val message: PeerMessage,
    ) : Effect

    data class Log(
        val level: Level,
        val text: String,
    ) : Effect
}
