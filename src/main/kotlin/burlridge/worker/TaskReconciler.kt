package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext

/** Reconciles the allocations of a machine with the tasks that its worker reports. */
internal class TaskReconciler(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val machines: MachineRegistry,
    private val outcomes: TaskOutcomes,
    private val losses: AllocationLosses,
) {
    /** Updates the allocations, orphans and idle time of [machine] from its latest heartbeat. */
    fun reconcile(machine: Machine) {
        val allocations =
            registry.allocations.byMachine[machine.id]
                ?.values
                ?.toList()
                .orEmpty()
        allocations.forEach { reconcile(machine, it) }
        machines.setOrphans(machine, orphansOn(machine))
        updateIdleTime(machine)
    }

    private fun reconcile(
        machine: Machine,
        allocation: Allocation,
    ) {
        if (allocation.agentEpoch < machine.agentEpoch) return losses.markLost(allocation, LossReason.EPOCH_ENDED)
        val status = machine.reportedTasks[taskKey(allocation.taskName, allocation.attempt)]
        when {
            status == null -> if (isKnownAbsent(machine, allocation)) losses.markLost(allocation, LossReason.NOT_ON_WORKER)
            status.isExited -> outcomes.recordExit(machine, allocation, status)
            else -> outcomes.recordActive(machine, allocation, status)
        }
    }

    /**
     * Whether a heartbeat without the task proves that the task is not on [machine]. It does so only if no start of the task can still
     * arrive: none is in flight, and the worker has seen a higher token than every command with an unknown outcome.
     */
    private fun isKnownAbsent(
        machine: Machine,
        allocation: Allocation,
    ): Boolean =
        when (allocation.phase) {
            AllocationPhase.COMMITTING, AllocationPhase.COMMITTED, AllocationPhase.ENDED -> false
            else -> !machine.commandInFlight && machine.seenToken > machine.unsettledToken
        }

    private fun orphansOn(machine: Machine): Set<String> {
        val allocations = registry.allocations.byMachine[machine.id]
        return machine.reportedTasks.values
            .filter { !it.isExited && allocations?.get(it.task)?.attempt != it.attempt }
            .mapTo(HashSet()) { it.task }
    }

    private fun updateIdleTime(machine: Machine) {
        val isIdle = registry.allocations.byMachine[machine.id].isNullOrEmpty()
        if (machine.idleSince > 0 && !isIdle) machine.idleSince = 0.0
        if (machine.idleSince == 0.0 && isIdle) machine.idleSince = context.now
    }
}
