package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpResponse

/**
 * The request by which the leader has another member pass a command on to a worker, and its response. It goes between members only: its
 * path and the statuses that are no HTTP statuses are part of their protocol.
 */
internal object RelayedCommand {
    /** Followed by the worker's address. */
    const val PATH_PREFIX: String = "/worker/do/"

    /** The command never left the relaying member. */
    private const val STATUS_NOT_SENT = 1

    /** The command left, and its outcome is not known. */
    private const val STATUS_UNKNOWN = 2

    /** The response of the relaying member to the leader. */
    fun responseOf(outcome: CallOutcome): HttpResponse =
        when (outcome) {
            is CallOutcome.Responded -> HttpResponse(outcome.status, outcome.body)
            CallOutcome.NotSent -> HttpResponse(STATUS_NOT_SENT, "")
            CallOutcome.Unknown -> HttpResponse(STATUS_UNKNOWN, "")
        }

    /** What [response] says of the command; null where the relaying member did not respond. */
    fun outcomeOf(response: HttpResponse?): CallOutcome =
        when (response?.status) {
            null, STATUS_UNKNOWN -> CallOutcome.Unknown
            STATUS_NOT_SENT -> CallOutcome.NotSent
            else -> CallOutcome.Responded(response.status, response.body)
        }
}
