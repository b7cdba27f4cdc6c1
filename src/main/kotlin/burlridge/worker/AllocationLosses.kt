package burlridge.worker

import burlridge.allocation.Allocation
import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext

/** Releases the allocations of tasks that are known to have ended, or were never started, so that they are placed again. */
internal class AllocationLosses(
    private val context: StepContext,
    private val registry: JobRegistry,
    /** Called after each release, so that waiting tasks are placed. */
    private val requestPlacement: () -> Unit,
) {
    /** Logs the loss of [allocation] and releases it. */
    fun markLost(
        allocation: Allocation,
        reason: LossReason,
    ) {
        // If the job has ended, nothing is lost: a new leader learns only now that the allocation has ended.
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
        requestPlacement()
    }

    /** Marks the allocations of [machine] whose agent epoch is lower than [beforeEpoch] as lost. */
    fun markAllLost(
        machine: Machine,
        reason: LossReason,
        beforeEpoch: Long = Long.MAX_VALUE,
    ) {
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.toList()
            .orEmpty()
            .filter { it.agentEpoch < beforeEpoch }
            .forEach { markLost(it, reason) }
    }

    /** Marks the allocations of [machine] for which no start was ever sent as lost. */
    fun releaseUndispatched(
        machine: Machine,
        reason: LossReason,
    ) {
        registry.allocations.byMachine[machine.id]
            ?.values
            ?.filter { it.phase == AllocationPhase.COMMITTED }
            ?.toList()
            ?.forEach { markLost(it, reason) }
    }
}
