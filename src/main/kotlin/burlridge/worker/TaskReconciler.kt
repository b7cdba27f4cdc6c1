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
        if (allocation.agentEpoch < machine.agentEpoch) return losses.lose(allocation, LossReason.EPOCH_ENDED)
        val status = machine.reportedTasks[taskKey(allocation.taskName, allocation.attempt)]
        when {
            status == null -> if (isKnownAbsent(machine, allocation)) losses.lose(allocation, LossReason.NOT_ON_WORKER)
            status.isExited -> outcomes.recordExit(machine, allocation, status)
            else -> outcomes.recordActive(machine, allocation, status)
        }
    }

    /**
     * A heartbeat without the task proves its absence only if no start of it can still arrive: none is in flight, and the worker has seen
     * a token above every one under which the outcome of a command is open.
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
