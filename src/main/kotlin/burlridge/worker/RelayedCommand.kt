package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpResponse

/**
 * The request with which the leader asks another member to forward a command to a worker, and its response. It is sent between members
 * only; its path, and the status values that are not HTTP status codes, are part of the protocol between members.
 */
internal object RelayedCommand {
    /** Path prefix, followed by the worker's address. */
    const val PATH_PREFIX: String = "/worker/do/"

    /** The command was not sent by the relaying member. */
    private const val STATUS_NOT_SENT = 1

    /** The command was sent, and its outcome is unknown. */
    private const val STATUS_OUTCOME_UNKNOWN = 2

    /** Returns the response of the relaying member to the leader. */
    fun responseOf(outcome: CallOutcome): HttpResponse =
        when (outcome) {
            is CallOutcome.Responded -> HttpResponse(outcome.status, outcome.body)
            CallOutcome.NotSent -> HttpResponse(STATUS_NOT_SENT, "")
            CallOutcome.Unknown -> HttpResponse(STATUS_OUTCOME_UNKNOWN, "")
        }

    /** Returns the outcome of the command from [response], which is null if the relaying member did not respond. */
    fun outcomeOf(response: HttpResponse?): CallOutcome =
        when (response?.status) {
            null, STATUS_OUTCOME_UNKNOWN -> CallOutcome.Unknown
            STATUS_NOT_SENT -> CallOutcome.NotSent
            else -> CallOutcome.Responded(response.status, response.body)
        }
}
