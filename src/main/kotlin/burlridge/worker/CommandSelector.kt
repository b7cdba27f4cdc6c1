package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** Allocations of one machine to start and stop with one request. A request without any only delivers the fencing token. */
internal class CommandSelection(
    val starts: List<Allocation>,
    val stops: List<Allocation>,
) {
    /** Returns the commands, with stops first, so that they free the resources that the starts need. */
    fun commands(registry: JobRegistry): List<WorkerCommand> =
        stops.map { WorkerCommand.Stop(it.taskName, it.attempt, graceSeconds(it, registry)) } +
            starts.map { WorkerCommand.Start(it.taskName, it.attempt) }

    private fun graceSeconds(
        allocation: Allocation,
        registry: JobRegistry,
    ): Double = if (registry.isCancelled(allocation)) 0.0 else allocation.stopGraceSeconds ?: 0.0

    internal companion object {
        /** Selects no commands; the worker only answers with a heartbeat. */
        val EMPTY: CommandSelection = CommandSelection(emptyList(), emptyList())
    }
}

/** Chooses the commands to send to a machine. */
internal class CommandSelector(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
) {
    /** Returns the commands to send to [machine] now; null if no request is needed. */
    fun select(machine: Machine): CommandSelection? {
        if (!canCommand(machine)) return null
        val allocations = registry.allocations.byMachine[machine.id]?.values
        if (allocations.isNullOrEmpty() || allocations.none { isPending(it) }) return null
        val starts = if (leadership.holdsLease) startsOf(machine).take(MAX_STARTS_PER_REQUEST) else emptyList()
        // While another member may have been elected, only stops of cancelled jobs are sent, since they are correct under any leader.
        val stops = allocations.filter { (leadership.holdsLease || registry.isCancelled(it)) && needsStop(it) }
        if (starts.isEmpty() && stops.isEmpty() && !needsFence(machine, allocations)) return null
        return CommandSelection(starts, stops)
    }

    /** Whether any allocation of [machine] waits for its start command. */
    fun hasStarts(machine: Machine): Boolean = startsOf(machine).isNotEmpty()

    private fun canCommand(machine: Machine): Boolean =
        !machine.commandInFlight && context.now >= machine.nextCommandAt && !machine.isLeaseExpired &&
            (leadership.holdsLease || leadership.mayAnswerWorkers)

    private fun isPending(allocation: Allocation): Boolean =
        allocation.phase <= AllocationPhase.DISPATCHED || allocation.stopGraceSeconds != null || registry.isCancelled(allocation)

    /** Whether the worker must see a higher token to settle a start command with an unknown outcome. */
    private fun needsFence(
        machine: Machine,
        allocations: Collection<Allocation>,
    ): Boolean =
        leadership.holdsLease && machine.seenToken <= machine.unsettledToken && allocations.any { it.phase == AllocationPhase.DISPATCHED }

    private fun startsOf(machine: Machine): List<Allocation> =
        if (machine.isResponsive) {
            registry.allocations.byMachine[machine.id]
                ?.values
                ?.filter { canStart(it, machine) }
                .orEmpty()
        } else {
            emptyList()
        }

    private fun canStart(
        allocation: Allocation,
        machine: Machine,
    ): Boolean =
        allocation.phase == AllocationPhase.COMMITTED && allocation.agentEpoch == machine.agentEpoch &&
            allocation.stopGraceSeconds == null &&
            machine.drainReason != DrainReason.OPERATOR &&
            registry.jobs[allocation.job]?.isCancelling == false

    private fun needsStop(allocation: Allocation): Boolean {
        if (allocation.phase < AllocationPhase.DISPATCHED || allocation.hasEnded) return false
        val retryAt = allocation.stopSentAt + context.settings.workers.reportSeconds / STOPS_PER_HEARTBEAT_INTERVAL
        if (context.now < retryAt) return false
        if (registry.isCancelled(allocation)) return true
        if (allocation.phase == AllocationPhase.CHECKPOINTING) return false
        if (allocation.isStopAcknowledged && registry.savesAsGang(allocation)) return false
        return allocation.stopGraceSeconds != null
    }

    private companion object {
        const val MAX_STARTS_PER_REQUEST = 100

        /** An unfulfilled stop is repeated after the heartbeat interval divided by this. */
        const val STOPS_PER_HEARTBEAT_INTERVAL = 3
    }
}
