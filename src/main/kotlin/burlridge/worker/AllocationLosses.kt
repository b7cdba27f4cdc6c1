package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext

/** Releases the allocations of tasks that are known to be gone, or were never started, so that they are placed again. */
internal class AllocationLosses(
    private val context: StepContext,
    private val registry: JobRegistry,
    /** Called after each change, so that waiting tasks are placed. */
    private val onChange: () -> Unit,
) {
    fun lose(
        allocation: Allocation,
        reason: LossReason,
    ) {
        // An allocation of a job that is over loses nothing: a new leader learns of its end only now.
        if (registry.jobs.containsKey(allocation.job)) {
            context.infoLimited(
                "task lost",
                "task" to allocation.taskName,
                "attempt" to allocation.attempt,
                "machine" to allocation.machine,
                "reason" to reason.text,
            )
        }
        registry.allocations.release(allocation, isLost = true)
        onChange()
    }

    /** Loses the allocations of [machine] whose agent epoch is less than [beforeEpoch]. */
    fun loseAll(
        machine: Machine,
        reason: LossReason,
        beforeEpoch: Long = Long.MAX_VALUE,
    ) {
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.toList()
            .orEmpty()
            .filter { it.agentEpoch < beforeEpoch }
            .forEach { lose(it, reason) }
    }

    /** Loses the allocations of [machine] for which no start was ever sent. */
    fun releaseUndispatched(
        machine: Machine,
        reason: LossReason,
    ) {
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase == AllocationPhase.COMMITTED }
            ?.toList()
            ?.forEach { lose(it, reason) }
    }
}
