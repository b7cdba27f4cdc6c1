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
            status == null -> reconcileAbsent(machine, allocation)
            status.isExited -> outcomes.recordExit(machine, allocation, status)
            else -> outcomes.recordActive(machine, allocation, status)
        }
    }

    /**
     * Releases an allocation whose start was sent and whose task a heartbeat does not contain, if that proves that the task is not on
     * [machine]. It does so only if no start of the task can still arrive: none is in flight, and the worker has seen a higher token than
     * every start command. A command that was answered counts too, since a late copy of it may follow: a worker that has lost a task
     * without ending its agent epoch has also lost the memory by which it ignores the copy.
     */
    private fun reconcileAbsent(
        machine: Machine,
        allocation: Allocation,
    ) {
        val isStarted = allocation.phase > AllocationPhase.COMMITTED && allocation.phase != AllocationPhase.ENDED
        if (!isStarted || machine.commandInFlight) return
        if (machine.seenToken >
            machine.lastCommandToken
        ) {
            losses.markLost(allocation, LossReason.NOT_ON_WORKER)
        } else {
            machines.fenceStarts(machine)
        }
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
