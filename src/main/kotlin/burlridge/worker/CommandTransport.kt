package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.peer.PeerRequests
import burlridge.settings.Endpoint

/** Sends requests to workers: straight, or through the member that relays the heartbeats of one that cannot reach the leader. */
internal class CommandTransport(
    private val context: StepContext,
    private val leadership: Leadership,
    private val peers: PeerRequests,
    private val reachability: ZoneReachability,
) {
    private val timeoutSeconds = context.settings.workers.reportSeconds * TIMEOUT_REPORTS

    /** Sends [body] to the worker of [machine] at [address]. Stops alone may leave later than other commands ([onlyStops]). */
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
        /** How long an answer is waited for, in report intervals. */
        const val TIMEOUT_REPORTS = 0.5
    }
}
