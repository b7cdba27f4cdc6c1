package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.leadership.Leadership

/** The allocations of one machine that are to be started and stopped by one request; without any, the request only fences. */
internal class CommandSelection(
    val starts: List<Allocation>,
    val stops: List<Allocation>,
) {
    /** The commands, stops first, so that they free what the starts need. */
    fun commands(registry: JobRegistry): List<WorkerCommand> =
        stops.map { WorkerCommand.Stop(it.taskName, it.attempt, graceSeconds(it, registry)) } +
            starts.map { WorkerCommand.Start(it.taskName, it.attempt) }

    private fun graceSeconds(
        allocation: Allocation,
        registry: JobRegistry,
    ): Double = if (registry.isCancelled(allocation)) 0.0 else allocation.stopGraceSeconds ?: 0.0

    internal companion object {
        /** No commands: the worker answers with a heartbeat. */
        val EMPTY: CommandSelection = CommandSelection(emptyList(), emptyList())
    }
}

/** Chooses the commands that are due to a machine. */
internal class CommandSelector(
    private val context: StepContext,
    private val leadership: Leadership,
    private val registry: JobRegistry,
) {
    /** What is to be sent to [machine] now; null if nothing is. */
    fun select(machine: Machine): CommandSelection? {
        if (!canCommand(machine)) return null
        val allocations = registry.allocations.byMachine[machine.id]?.values
        if (allocations.isNullOrEmpty() || allocations.none { isPending(it) }) return null
        val starts = if (leadership.holdsLease) startsOf(machine).take(MAX_STARTS_PER_REQUEST) else emptyList()
        // While another member may have been elected, only stops of cancelled jobs go out: they can never be wrong.
        val stops = allocations.filter { (leadership.holdsLease || registry.isCancelled(it)) && needsStop(it) }
        if (starts.isEmpty() && stops.isEmpty() && !needsFence(machine, allocations)) return null
        return CommandSelection(starts, stops)
    }

    fun hasStarts(machine: Machine): Boolean = startsOf(machine).isNotEmpty()

    private fun canCommand(machine: Machine): Boolean =
        !machine.commandInFlight && context.now >= machine.nextCommandAt && !machine.isLeaseExpired &&
            (leadership.holdsLease || leadership.mayAnswerWorkers)

    private fun isPending(allocation: Allocation): Boolean =
        allocation.phase <= AllocationPhase.DISPATCHED || allocation.stopGraceSeconds != null || registry.isCancelled(allocation)

    /** Whether a start of unknown outcome waits for the worker to see a newer token. */
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
        val retryAt = allocation.stopSentAt + context.settings.workers.reportSeconds / STOPS_PER_REPORT
        if (context.now < retryAt) return false
        if (registry.isCancelled(allocation)) return true
        if (allocation.phase == AllocationPhase.CHECKPOINTING) return false
        if (allocation.isStopAcknowledged && registry.savesAsGang(allocation)) return false
        return allocation.stopGraceSeconds != null
    }

    private companion object {
        const val MAX_STARTS_PER_REQUEST = 100

        /** A stop is repeated after this part of a report interval. */
        const val STOPS_PER_REPORT = 3
    }
}
