package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.peer.PeerRequests
import burlridge.settings.Endpoint

/**
 * What a member that does not lead does with heartbeats. A worker is redirected to the leader; one that comes straight back cannot reach
 * it, and would lose its lease and all its tasks between the two. Its heartbeats are forwarded to the leader over the peer link, and the
 * leader's answers, with their fencing tokens, back to it.
 */
internal class HeartbeatRelay(
    private val context: StepContext,
    private val peers: PeerRequests,
) {
    /** A worker that was redirected to [leader]. */
    private class RedirectedWorker(
        val leader: String,
        val redirectedAt: Double,
    ) {
        /** Since when its heartbeats are forwarded; null while they are not. */
        var relayedSince: Double? = null
    }

    private val workerSettings = context.settings.workers

    /** By machine id. */
    private val redirected = HashMap<String, RedirectedWorker>()

    /** Answers the heartbeat [body]; [leader] is the leading member, or null if none is known. */
    fun heartbeat(
        body: String,
        leader: String?,
        respond: (HttpResponse) -> Unit,
    ) {
        if (leader == null) return respond(WorkerApi.redirectTo(null))
        val heartbeat = Heartbeat.decode(body) ?: return respond(HttpResponse.error(HttpStatus.BAD_REQUEST, "not a report"))
        val known = redirected[heartbeat.machine]?.takeIf { it.leader == leader }
        val current = known?.takeIf { cannotReachLeader(it) }
        // Where the leader itself misses the zone, its workers need not find that out by trying; but one that has been relayed for a
        // lease is redirected once, to see whether the way is free.
        val isZoneMissed = known?.relayedSince == null && peers.leaderLacksHeartbeatsFrom(leader, heartbeat.zone.orEmpty())
        val worker = current ?: RedirectedWorker(leader, context.now).also { redirected[heartbeat.machine] = it }
        if (current == null && !isZoneMissed) return respond(WorkerApi.redirectTo(leader))
        worker.relayedSince = worker.relayedSince ?: context.now
        peers.forward(leader, "POST", WorkerApi.HEARTBEAT_PATH, body, workerSettings.reportSeconds / 2) { response ->
            respond(response ?: WorkerApi.redirectTo(leader))
        }
    }

    /** Whether [worker] came back soon after it was redirected, or has been relayed for less than a lease. */
    private fun cannotReachLeader(worker: RedirectedWorker): Boolean {
        val isRelayed = worker.relayedSince?.let { context.now < it + workerSettings.leaseSeconds } ?: false
        return isRelayed || context.now < worker.redirectedAt + workerSettings.leaseSeconds / 2
    }

    /** Passes a command of the leader on to the worker at [address]; it is fenced by the leader's token like any other. */
    fun command(
        address: String,
        body: String,
        respond: (HttpResponse) -> Unit,
    ) {
        val endpoint = Endpoint.parseOrNull(address) ?: return respond(RelayedCommand.responseOf(CallOutcome.NotSent))
        context.call(endpoint, "POST", WorkerApi.COMMAND_PATH, body, workerSettings.reportSeconds / 2) { outcome ->
            respond(RelayedCommand.responseOf(outcome))
        }
    }
}
