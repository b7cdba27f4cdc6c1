package burlridge.worker

import burlridge.core.CallOutcome
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.settings.Endpoint

/** Asks workers for their report. Unlike a command, an inspection changes nothing on the worker and can be given up at any time. */
internal class WorkerInspector(
    private val context: StepContext,
    private val leadership: Leadership,
    private val machines: MachineRegistry,
    private val heartbeats: HeartbeatProcessor,
    private val commands: CommandDispatcher,
) {
    /** Listeners of the inspections in progress, by machine id. */
    private val listeners = HashMap<String, ArrayList<() -> Unit>>()

    /** Forgets all inspections in progress when a term begins or ends. */
    fun clear() = listeners.clear()

    /** Asks the worker of [machine] for its report, and calls [onEnded] once it has been processed or is not to be expected any more. */
    fun inspect(
        machine: Machine,
        onEnded: () -> Unit,
    ) {
        val address = machine.address
        when {
            address == null -> onEnded()

            // The member that relays the heartbeats of a worker passes on commands only. The caller does not wait for the response.
            machine.relayedBy != null -> commands.sendToken(machine)

            listeners[machine.id] != null -> listeners.getValue(machine.id) += onEnded

            listeners.size >= MAX_IN_PROGRESS -> onEnded()

            else -> send(machine, address, onEnded)
        }
    }

    private fun send(
        machine: Machine,
        address: Endpoint,
        onEnded: () -> Unit,
    ) {
        val started = arrayListOf(onEnded)
        listeners[machine.id] = started
        context.count("worker.inspections")
        val request = ReportRequest(machine, context.now)
        val isStillLeading = leadership.whileLeading(leadership.term)
        context.call(address, "GET", WorkerApi.INSPECTION_PATH, null, TIMEOUT_SECONDS) { outcome ->
            if (listeners[machine.id] === started) listeners.remove(machine.id)
            if (isStillLeading() && machines.isRegistered(machine)) onOutcome(request, outcome)
            started.forEach { it() }
        }
    }

    private fun onOutcome(
        request: ReportRequest,
        outcome: CallOutcome,
    ) {
        if (outcome !is CallOutcome.Responded || outcome.status != HttpStatus.OK) return
        heartbeats.onInspected(request, outcome.body)
    }

    private companion object {
        /** Bounds the inspections after a change of leader, when users ask about many jobs whose machines have not reported yet. */
        const val MAX_IN_PROGRESS = 64
        const val TIMEOUT_SECONDS = 1.0
    }
}
