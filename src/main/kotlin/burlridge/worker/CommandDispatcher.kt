package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.CallOutcome
import burlridge.core.HttpStatus
import burlridge.core.StepContext
import burlridge.leadership.Leadership
import burlridge.leadership.StepDownReason
import burlridge.settings.Endpoint

/** The parts that the outcomes of commands are passed to. */
internal class CommandHandlers(
    val heartbeats: HeartbeatProcessor,
    val losses: AllocationLosses,
    /** Called after a response, so that waiting tasks are placed. */
    val requestPlacement: () -> Unit,
)

/** Sends commands to workers, one request at a time to each, and handles their outcomes. */
internal class CommandDispatcher(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
    private val machines: MachineRegistry,
    private val transport: CommandTransport,
    private val handlers: CommandHandlers,
) {
    private val selector = CommandSelector(context, leadership, registry)

    /** Result of a request to a worker. */
    private sealed interface CommandResult {
        class Executed(
            val heartbeat: Heartbeat,
        ) : CommandResult

        /** The worker has seen a higher token or begun a new agent epoch, and executed nothing. */
        class Fenced(
            val heartbeat: Heartbeat,
        ) : CommandResult

        data object NotExecuted : CommandResult

        /** The commands may have been executed, or may still be executed later. */
        data object Unknown : CommandResult
    }

    /** Sends the pending commands to [machine]. */
    fun sendPending(machine: Machine) {
        val address = machine.address ?: return
        val selection = selector.select(machine) ?: return
        selection.stops.forEach { it.stopSentAt = context.now }
        selection.starts.forEach { it.phase = AllocationPhase.DISPATCHED }
        if (selection.starts.isNotEmpty()) machine.lastStartToken = machine.token
        send(machine, address, selection)
    }

    /** Sends a request without commands, which the worker of [machine] answers with a heartbeat. */
    fun query(
        machine: Machine,
        address: Endpoint,
    ) = send(machine, address, CommandSelection.EMPTY)

    /** Delivers the token of [machine] to its worker at once. If a request is in flight, the worker gets it with its next heartbeat. */
    fun sendToken(machine: Machine) {
        val address = machine.address ?: return
        val canSend = leadership.holdsLease && !machine.commandInFlight && context.now >= machine.nextCommandAt
        if (canSend) query(machine, address)
    }

    private fun send(
        machine: Machine,
        address: Endpoint,
        selection: CommandSelection,
    ) {
        machine.commandInFlight = true
        context.count("worker.commands")
        if (selection.starts.isNotEmpty()) context.count(STARTS_METRIC, selection.starts.size)
        val token = machine.token
        val request = ReportRequest(machine, context.now)
        val body = WorkerCommandCodec.request(token, machine.agentEpoch, selection.commands(registry))
        val isStillLeading = leadership.whileLeading(leadership.term)
        val onlyStops = selection.starts.isEmpty() && selection.stops.isNotEmpty()
        transport.send(machine, address, body, onlyStops) { outcome ->
            if (!isStillLeading() || !machines.isRegistered(machine)) return@send
            machine.commandInFlight = false
            onResult(request, selection, token, resultOf(outcome))
        }
    }

    private fun resultOf(outcome: CallOutcome): CommandResult =
        when (outcome) {
            is CallOutcome.Responded -> resultOf(outcome)
            CallOutcome.NotSent -> CommandResult.NotExecuted
            CallOutcome.Unknown -> CommandResult.Unknown
        }

    private fun resultOf(response: CallOutcome.Responded): CommandResult {
        if (response.status == HttpStatus.BAD_REQUEST) return CommandResult.NotExecuted
        val heartbeat = Heartbeat.decode(response.body) ?: return CommandResult.Unknown
        return when (response.status) {
            HttpStatus.OK -> CommandResult.Executed(heartbeat)
            HttpStatus.CONFLICT -> CommandResult.Fenced(heartbeat)
            else -> CommandResult.Unknown
        }
    }

    private fun onResult(
        request: ReportRequest,
        selection: CommandSelection,
        token: Long,
        result: CommandResult,
    ) {
        val machine = request.machine
        when (result) {
            is CommandResult.Executed -> {
                selection.stops.forEach { it.isStopAcknowledged = true }
                onHeartbeat(request, result.heartbeat)
            }

            is CommandResult.Fenced -> {
                revertToCommitted(selection.starts)
                machine.nextCommandAt = context.now + RETRY_BASE_SECONDS
                onHeartbeat(request, result.heartbeat)
            }

            CommandResult.NotExecuted -> {
                revertToCommitted(selection.starts)
                onNotExecuted(machine)
            }

            CommandResult.Unknown -> {
                onUnknown(machine, token)
            }
        }
    }

    private fun onHeartbeat(
        request: ReportRequest,
        heartbeat: Heartbeat,
    ) {
        val machine = request.machine
        machine.consecutiveCommandFailures = 0
        handlers.heartbeats.onRequestedReport(request, heartbeat)
        if (FencingToken.termOf(machine.seenToken) > leadership.term) {
            return leadership.stepDown(StepDownReason.HigherTokenSeen(machine.id))
        }
        handlers.requestPlacement()
        // Tasks allocated while this request was in flight are started without waiting for a sweep, since a gang waits for its last task.
        if (selector.hasStarts(machine)) sendPending(machine)
    }

    private fun onNotExecuted(machine: Machine) {
        retryLater(machine)
        if (machine.consecutiveCommandFailures < MIN_FAILURES_TO_RELEASE) return
        // Heartbeats of the machine may arrive although no command reaches it. Tasks whose start was not sent are placed elsewhere, and
        // nothing more is placed here until the worker has seen a new token, which it can only have received in a response of this leader.
        machines.requireNewToken(machine)
        handlers.losses.releaseUndispatched(machine, LossReason.MACHINE_UNREACHABLE)
    }

    /**
     * Requires a new token, since whether the commands sent under [token] were or still will be executed is only certain once the worker
     * has seen a higher one.
     */
    private fun onUnknown(
        machine: Machine,
        token: Long,
    ) {
        context.infoLimited("command outcome unknown", "machine" to machine.id, "token" to token)
        machine.unsettledToken = maxOf(machine.unsettledToken, token)
        machines.requireNewToken(machine)
        retryLater(machine)
    }

    private fun retryLater(machine: Machine) {
        machine.consecutiveCommandFailures++
        machine.nextCommandAt = context.now + RETRY_BASE_SECONDS * minOf(machine.consecutiveCommandFailures, MAX_RETRY_FACTOR)
    }

    /** Marks [starts], which were not executed, as not sent. */
    private fun revertToCommitted(starts: List<Allocation>) {
        for (allocation in starts) {
            if (allocation.phase != AllocationPhase.DISPATCHED) continue
            allocation.phase = AllocationPhase.COMMITTED
            // The gang was stopped before the attempt began.
            if (allocation.stopGraceSeconds != null) handlers.losses.markLost(allocation, LossReason.GANG_ENDED)
        }
    }

    internal companion object {
        /** Counts the start commands that were sent. */
        const val STARTS_METRIC: String = "worker.starts"
        private const val RETRY_BASE_SECONDS = 0.5

        /** The delay before a retry grows with each failure, up to this multiple of [RETRY_BASE_SECONDS]. */
        private const val MAX_RETRY_FACTOR = 8
        private const val MIN_FAILURES_TO_RELEASE = 2
    }
}
