package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpResponse
import burlridge.core.StepContext
import burlridge.json.Json
import burlridge.peer.PeerRequests
import burlridge.settings.Endpoint

/**
 * What a member that does not lead does with reports. A worker is sent to the leader; one that comes straight back cannot
 * reach it, and would lose its lease and all its tasks on the way between us. Its reports are passed to the leader over the
 * peer link, and the leader's answers, token and all, back to it.
 */
internal class HeartbeatRelay(
    private val context: StepContext,
    private val peers: PeerRequests,
) {
    private class Seen(
        val leader: String,
        var sentAwayAt: Double,
        var relayedSince: Double? = null,
    )

    private val times = context.settings.workers
    private val seen = HashMap<String, Seen>()

    fun heartbeat(
        body: String,
        leader: String?,
        onResult: (HttpResponse) -> Unit,
    ) {
        if (leader == null) return onResult(redirect(null))
        val report = Heartbeat.decode(body) ?: return onResult(HttpResponse.error(400, "not a report"))
        val worker = report.machine
        val known = seen[worker]?.takeIf { it.leader == leader }
        val stuck = known != null && (relaying(known) || context.now < known.sentAwayAt + times.leaseSeconds / 2)
        // Where the leader itself says that it hears nobody there, no worker need find that out; but one that has been relayed
        // for a lease tries the way once.
        val apart = known?.relayedSince == null && peers.leaderMissesZone(leader, report.zone.orEmpty())
        val before = if (known != null && stuck) known else Seen(leader, context.now).also { seen[worker] = it }
        if (!stuck && !apart) return onResult(redirect(leader))
        before.relayedSince = before.relayedSince ?: context.now
        peers.forward(leader, "POST", "/agent/beat", body, times.reportSeconds / 2) { answer -> onResult(answer ?: redirect(leader)) }
    }

    /** A command of the leader for a worker that only this member reaches; fenced by the leader's token like any other. */
    fun command(
        to: String,
        body: String,
        onResult: (HttpResponse) -> Unit,
    ) {
        val address = Endpoint.parseOrNull(to) ?: return onResult(HttpResponse(NOT_SENT, ""))
        context.call(address, "POST", "/do", body, times.reportSeconds / 2) { outcome ->
            onResult(
                when (outcome) {
                    is CallOutcome.Responded -> HttpResponse(outcome.status, outcome.body)
                    CallOutcome.NotSent -> HttpResponse(NOT_SENT, "")
                    CallOutcome.Unknown -> HttpResponse(UNKNOWN, "")
                },
            )
        }
    }

    /** After a lease's time a relayed worker is sent to the leader again, to see whether the way is free. */
    private fun relaying(before: Seen): Boolean = before.relayedSince?.let { context.now < it + times.leaseSeconds } ?: false

    private fun redirect(leader: String?) = HttpResponse(421, Json.write(Json.obj { leader?.let { put("herder", it) } }))

    internal companion object {
        /** Path of a command passed on, followed by the worker's address; between members only. */
        const val COMMAND = "/worker/do/"
        const val NOT_SENT = 1
        const val UNKNOWN = 2
    }
}
