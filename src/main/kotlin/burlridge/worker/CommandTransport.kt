package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.settings.Endpoint

/** Sends requests to workers: directly or, if a member relays the heartbeats of the worker, through that member. */
internal class CommandTransport(
    private val context: StepContext,
    private val leadership: Leadership,
    private val peers: PeerRequests,
    private val reachability: ZoneReachability,
) {
    private val timeoutSeconds = context.settings.workers.reportSeconds * TIMEOUT_INTERVALS

    /** Sends [body] to the worker of [machine] at [address]. A request with [onlyStops] has a later send deadline than other requests. */
    fun send(
        machine: Machine,
        address: Endpoint,
        body: String,
        onlyStops: Boolean,
        onResult: (CallOutcome) -> Unit,
    ) {
        val sendDeadline = if (onlyStops) leadership.responseDeadline else leadership.commandDeadline
        val relayedBy = machine.relayedBy
        if (relayedBy == null) {
            sendDirectly(machine.zone, address, body, sendDeadline, onResult)
        } else {
            val path = RelayedCommand.PATH_PREFIX + address
            peers.forward(relayedBy, "POST", path, body, timeoutSeconds * 2, sendDeadline) { response ->
                onResult(RelayedCommand.outcomeOf(response))
            }
        }
    }

    private fun sendDirectly(
        zone: String,
        address: Endpoint,
        body: String,
        sendDeadline: Double,
        onResult: (CallOutcome) -> Unit,
    ) {
        context.call(address, "POST", WorkerApi.COMMAND_PATH, body, timeoutSeconds, sendDeadline) { outcome ->
            reachability.onCommandResult(zone, outcome is CallOutcome.Responded)
            onResult(outcome)
        }
    }

    private companion object {
        /** Timeout of a request, in heartbeat intervals. */
        const val TIMEOUT_INTERVALS = 0.5
    }
}
