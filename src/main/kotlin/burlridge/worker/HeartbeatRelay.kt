package burlridge.worker

import burlridge.core.BoundedMap
import burlridge.core.CallOutcome
import burlridge.core.HttpResponse
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.peer.PeerRequests
import burlridge.settings.Endpoint

/**
 * Handles heartbeats on a member that is not the leader. A worker is redirected to the leader. If it returns soon after, it cannot reach
 * the leader, and its lease would expire and end all its tasks while it alternates between the two members. Its heartbeats are therefore
 * forwarded to the leader over the peer connection, and the leader's responses, with their fencing tokens, are passed back to the worker.
 */
internal class HeartbeatRelay(
    private val context: StepContext,
    private val peers: PeerRequests,
) {
    /** A worker that was redirected to [leader], or whose heartbeats are forwarded there. */
    private class RedirectedWorker(
        val leader: String,
        val redirectedAt: Double,
    ) {
        /** Time since which its heartbeats have been forwarded; null while they are not. */
        var relayedSince: Double? = null
    }

    private val workerSettings = context.settings.workers

    /** Redirected workers by machine id. */
    private val redirected = BoundedMap<String, RedirectedWorker>(context.settings.processLimits.maxConnections * REDIRECTED_PER_CONNECTION)

    /** Answers the heartbeat [body]; [leader] is null if no leader is known. */
    fun onHeartbeat(
        body: String,
        leader: String?,
        respond: (HttpResponse) -> Unit,
    ) {
        if (leader == null) return respond(WorkerApi.redirectTo(null))
        val heartbeat = Heartbeat.decode(body) ?: return respond(HttpResponse.error(HttpStatus.BAD_REQUEST, "not a report"))
        val previous = redirected[heartbeat.machine]?.takeIf { it.leader == leader }
        val partitionedWorker = previous?.takeIf { cannotReachLeader(it) }
        // If the leader reports that it receives no heartbeats from the zone, its workers are relayed without being redirected first. A
        // worker that has been relayed for the duration of a lease is redirected once, to test whether it can reach the leader again.
        val relayWithoutRedirect = previous?.relayedSince == null && peers.leaderLacksHeartbeatsFrom(leader, heartbeat.zone.orEmpty())
        val worker = partitionedWorker ?: RedirectedWorker(leader, context.now).also { redirected[heartbeat.machine] = it }
        if (partitionedWorker == null && !relayWithoutRedirect) return respond(WorkerApi.redirectTo(leader))
        worker.relayedSince = worker.relayedSince ?: context.now
        peers.forward(leader, "POST", WorkerApi.HEARTBEAT_PATH, body, workerSettings.reportSeconds / 2) { response ->
            respond(response ?: WorkerApi.redirectTo(leader))
        }
    }

    /** Whether [worker] returned within half a lease after it was redirected, or has been relayed for less than the duration of a lease. */
    private fun cannotReachLeader(worker: RedirectedWorker): Boolean {
        val isRelayed = worker.relayedSince?.let { context.now < it + workerSettings.leaseSeconds } ?: false
        return isRelayed || context.now < worker.redirectedAt + workerSettings.leaseSeconds / 2
    }

    /** Forwards a command of the leader to the worker at [address]. The leader's token fences it like any other command. */
    fun forwardCommand(
        address: String,
        body: String,
        respond: (HttpResponse) -> Unit,
    ) {
        val endpoint = Endpoint.parseOrNull(address) ?: return respond(RelayedCommand.responseOf(CallOutcome.NotSent))
        context.call(endpoint, "POST", WorkerApi.COMMAND_PATH, body, workerSettings.reportSeconds / 2) { outcome ->
            respond(RelayedCommand.responseOf(outcome))
        }
    }

    private companion object {
        /** Far more workers than a deployment with that many connections has. A forgotten one is redirected once more. */
        const val REDIRECTED_PER_CONNECTION = 10
    }
}
