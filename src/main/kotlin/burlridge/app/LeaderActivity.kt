package burlridge.app

import burlridge.allocation.AllocationPhase
import burlridge.allocation.JobRegistry
import burlridge.core.StepContext
import burlridge.failover.Failover
import burlridge.worker.CommandDispatcher
import burlridge.worker.WorkerManager
import burlridge.worker.WorkerResponseCount

/** Provides failover with the state of this member's work as leader. */
internal class LeaderActivity(
    private val context: StepContext,
    private val registry: JobRegistry,
    private val workers: WorkerManager,
) : Failover.ControllerState {
    override val startsSent: Long get() = context.counters.getLong(CommandDispatcher.STARTS_METRIC)

    override fun isQuiesced(): Boolean = registry.allocations.pendingBatches == 0 && !hasUnsentAllocations()

    private fun hasUnsentAllocations(): Boolean =
        registry.allocations.byMachine.values
            .any { allocations -> allocations.values.any { it.phase == AllocationPhase.COMMITTED } }

    override fun workerResponseCount(): WorkerResponseCount = if (workers.isLoaded) workers.responseCount() else WorkerResponseCount(0, 0)
}
